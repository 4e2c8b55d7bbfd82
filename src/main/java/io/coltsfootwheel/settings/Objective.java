package io.coltsfootwheel.settings;

/**
 * Service-level objective of one service.
 *
 * @param answeredInTimeShare share of requests answered in time, above 0 and below 1
 * @param inTimeMillis latency up to which an answer counts as in time
 * @param unavailableSecondsPerDay time per day during which keys may be unavailable
 * @param churnSlotsPerHour ownership changes of hash slots per hour
 */
public record Objective(
    double answeredInTimeShare,
    int inTimeMillis,
    int unavailableSecondsPerDay,
    int churnSlotsPerHour) {}
