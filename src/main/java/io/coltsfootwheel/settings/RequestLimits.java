package io.coltsfootwheel.settings;

/**
 * Limits on requests at one instance.
 *
 * @param bodyBytes maximum size of a request body
 * @param queueFactor maximum number of queued requests per target, as a multiple of its concurrency
 *     slots
 * @param concurrentRequests maximum number of requests in progress at the instance
 * @param deadlineDefaultMillis time limit of a request that sets no deadline
 * @param deadlineMaximumMillis longest time limit that a request may set
 */
public record RequestLimits(
    int bodyBytes,
    int queueFactor,
    int concurrentRequests,
    int deadlineDefaultMillis,
    int deadlineMaximumMillis) {}
