package io.coltsfootwheel.relay;

/**
 * Names of the HTTP headers in which callers and targets exchange the facts of a request.
 *
 * @param requestId identity of one attempt of a client
 * @param deadlineMillis time that the sender will wait
 * @param key key of a keyed service
 * @param expectedTarget target that alone may run the request
 * @param signature present on every response that a target's program has made
 * @param notExecuted present when the target states that it did not run the request
 */
public record WireNames(
    String requestId,
    String deadlineMillis,
    String key,
    String expectedTarget,
    String signature,
    String notExecuted) {}
