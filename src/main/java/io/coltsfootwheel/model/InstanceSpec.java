package io.coltsfootwheel.model;

/**
 * Instance of the router as registered in the control state.
 *
 * @param id name of the instance
 * @param zone availability zone that it runs in
 * @param linkAddress address for connections from other instances
 * @param httpAddress address for callers
 * @param session changes with each start of the instance's process
 */
public record InstanceSpec(
    InstanceId id,
    AvailabilityZone zone,
    Address linkAddress,
    Address httpAddress,
    String session) {}
