package io.coltsfootwheel.settings;

/**
 * Service-level objective of one service.
 *
 * @param answeredInTimeShare share of requests to be answered in time, above 0 and below 1
 * @param inTimeMillis highest latency at which a response counts as in time
 * @param unavailableSecondsPerDay time per day for which keys may be unavailable
 * @param churnSlotsPerHour ownership changes of hash slots allowed per hour
 */
public record Objective(
    double answeredInTimeShare,
    int inTimeMillis,
    int unavailableSecondsPerDay,
    int churnSlotsPerHour) {}
