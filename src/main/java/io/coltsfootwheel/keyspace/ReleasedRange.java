package io.coltsfootwheel.keyspace;

/**
 * Range that a target has released.
 *
 * @param range the keys
 * @param handover token that lets the next owner start warm
 */
public record ReleasedRange(KeyRange range, String handover) {}
