package io.coltsfootwheel.keyspace;

/**
 * How busy a target is, as all entries together observe it.
 *
 * @param inFlight requests sent and not yet answered
 * @param millisPerRequest time that one request occupies a slot
 */
public record TargetPressure(int inFlight, int millisPerRequest) {}
