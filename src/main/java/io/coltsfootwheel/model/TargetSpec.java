package io.coltsfootwheel.model;

/**
 * What a target announces about itself.
 *
 * @param id name of the target
 * @param service service that it offers
 * @param address address of its HTTP server
 * @param zone availability zone that it runs in
 * @param slots requests that it executes at the same time
 * @param connections connections that it accepts
 * @param checksFences true when it refuses requests with an outdated fence or an expired grant
 * @param keepsIdentities true when it executes a request identity at most once by itself
 * @param incarnation changes with each start of the target's process
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
