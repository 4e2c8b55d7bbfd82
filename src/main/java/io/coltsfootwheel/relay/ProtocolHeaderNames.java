package io.coltsfootwheel.relay;

/**
 * Names of the HTTP headers that clients, the relay and targets use to exchange request metadata.
 *
 * @param requestId ID of one attempt of a client
 * @param deadlineMillis time for which the sender will wait
 * @param key key of a request to a keyed service
 * @param expectedTarget the only target that may execute the request
 * @param signature present on every response that a target's program creates
 * @param notExecuted present if the target states that it did not execute the request
 * @param leaving with the value 1 in all responses of a target that is leaving
 * @param load load that the target reports of itself
 */
public record ProtocolHeaderNames(
    String requestId,
    String deadlineMillis,
    String key,
    String expectedTarget,
    String signature,
    String notExecuted,
    String leaving,
    String load) {}
