package io.coltsfootwheel.model;

/**
 * Load of one hash slot as observed by the dispatcher of its target.
 *
 * @param hashSlot the hash slot
 * @param requestsPerSecond requests per second over the last report interval
 */
public record SlotLoad(int hashSlot, double requestsPerSecond) {}
