package io.coltsfootwheel.keyspace;

/**
 * Range that a target has released.
 *
 * @param range the keys
 * @param handoverToken token that lets the next owner start with warm state, or an empty string
 */
public record ReleasedRange(KeyRange range, String handoverToken) {}
