package io.coltsfootwheel.loadcontrol;

/**
 * What a request requires of its target.
 *
 * @param remainingObjectiveMillis time until the latency objective or the deadline is missed,
 *     whichever is earlier; negative afterwards
 * @param bulk whether its request or response is large
 */
public record SelectionNeed(double remainingObjectiveMillis, boolean bulk) {}
