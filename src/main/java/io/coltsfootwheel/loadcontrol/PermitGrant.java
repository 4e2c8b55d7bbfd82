package io.coltsfootwheel.loadcontrol;

/**
 * Permits for one target, granted to one entry.
 *
 * @param permits requests that the entry may send to the target
 * @param waitMillis time until the permits that all entries wait for have been granted, 0 when this
 *     entry received all that it asked for
 */
public record PermitGrant(int permits, int waitMillis) {}
