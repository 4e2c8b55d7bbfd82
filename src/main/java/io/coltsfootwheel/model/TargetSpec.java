package io.coltsfootwheel.model;

/**
 * Properties that a target announces when it registers.
 *
 * @param id name of the target
 * @param service service that the target offers
 * @param address address of its HTTP server
 * @param zone availability zone of the target
 * @param slots number of requests that the target executes concurrently
 * @param connections number of connections that the target accepts
 * @param checksFences true when the target rejects requests with an outdated fence or an expired
 *     grant
 * @param keepsIdentities true when the target itself executes each request identity at most once
 * @param incarnation identifier of the target's process; a restart gives a new one
 */
public record TargetSpec(
    TargetId id,
    ServiceName service,
    Address address,
    AvailabilityZone zone,
    int slots,
    int connections,
    boolean checksFences,
    boolean keepsIdentities,
    String incarnation) {}
