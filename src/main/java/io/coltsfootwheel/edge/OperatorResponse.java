package io.coltsfootwheel.edge;

/**
 * Response to an operator.
 *
 * @param status HTTP status
 * @param content value that is serialized as JSON, or a {@code String} that is sent as plain text
 */
public record OperatorResponse(int status, Object content) {}
