package io.coltsfootwheel.settings;

/**
 * Limits on requests at one instance.
 *
 * @param bodyBytes largest request body
 * @param queueFactor queued requests per target, as a multiple of its slots
 * @param concurrentRequests requests in progress at the instance
 * @param deadlineDefaultMillis deadline of a request that names none
 * @param deadlineMaximumMillis latest deadline that a request may name
 */
public record RequestLimits(
    int bodyBytes,
    int queueFactor,
    int concurrentRequests,
    int deadlineDefaultMillis,
    int deadlineMaximumMillis) {}
