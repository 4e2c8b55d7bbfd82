package io.coltsfootwheel.keyspace;

/**
 * Load of a target, estimated from the observations of all entries.
 *
 * @param inFlight requests sent and not yet answered
 * @param millisPerRequest time for which one request occupies a slot
 */
public record TargetLoadEstimate(int inFlight, int millisPerRequest) {}
