package io.coltsfootwheel.model;

/**
 * Router instance as registered in the replicated control state.
 *
 * @param id name of the instance
 * @param zone availability zone that it runs in
 * @param linkAddress address for connections from other instances
 * @param httpAddress address for callers
 * @param session identifier of the instance's process; a restart gives a new one
 */
public record InstanceSpec(
    InstanceId id,
    AvailabilityZone zone,
    Address linkAddress,
    Address httpAddress,
    String session) {}
