package io.coltsfootwheel.model;

/**
 * Load of one hash slot as its dispatcher observed it.
 *
 * @param hashSlot the hash slot
 * @param requestsPerSecond requests per second over the last report interval
 */
public record SlotLoad(int hashSlot, double requestsPerSecond) {}
