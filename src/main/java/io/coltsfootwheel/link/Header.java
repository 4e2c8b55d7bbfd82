package io.coltsfootwheel.link;

/**
 * HTTP header field.
 *
 * @param name the name as received
 * @param value the value
 */
public record Header(String name, String value) {}
