package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;

/**
 * Settings of the forwarding of requests.
 *
 * @param listen address for clients
 * @param zone availability zone of this entry
 * @param names names of headers
 * @param drainMillis time for which a leaving target may still receive requests
 * @param retryRatio retries for each request that all entries together may make
 * @param retryAllowance retries of all entries together that are allowed besides
 * @param retryWindowMillis window in which retries are counted
 * @param seed seed of random choices
 */
public record RelaySettings(
    Address listen,
    AvailabilityZone zone,
    WireNames names,
    long drainMillis,
    double retryRatio,
    double retryAllowance,
    long retryWindowMillis,
    long seed) {}
