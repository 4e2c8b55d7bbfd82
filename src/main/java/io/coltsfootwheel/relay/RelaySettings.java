package io.coltsfootwheel.relay;

import io.coltsfootwheel.listener.ProcessLimits;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import java.util.OptionalLong;

/**
 * Settings of a relay.
 *
 * @param listen address on which clients connect
 * @param zone availability zone of this entry
 * @param headerNames names of the protocol's HTTP headers
 * @param drainMillis time for which a target that is no longer ready may still receive requests
 * @param evacuationMillis time after the start of the evacuation of a zone for which its targets
 *     may still receive requests
 * @param retryRatio retries per request that all entries together may make
 * @param retryAllowance additional retries that all entries together may make within a window
 * @param retryWindowMillis length of the sliding window in which retries are counted
 * @param seed seed of the random number generator
 * @param limitMode what is done with the concurrency limits of targets
 * @param linkBytesPerSecond rate of the link of this machine, empty when it is not known
 * @param processLimits limits of the process, of which its clients may use shares
 */
public record RelaySettings(
    Address listen,
    AvailabilityZone zone,
    ProtocolHeaderNames headerNames,
    long drainMillis,
    long evacuationMillis,
    double retryRatio,
    double retryAllowance,
    long retryWindowMillis,
    long seed,
    LimitMode limitMode,
    OptionalLong linkBytesPerSecond,
    ProcessLimits processLimits) {
  /**
   * Creates settings that enforce limits and have no evacuation time; the drain time limits
   * evacuations too. The rate of the link is not known.
   *
   * @param listen address on which clients connect
   * @param zone availability zone of this entry
   * @param headerNames names of the protocol's HTTP headers
   * @param drainMillis time for which a target that is no longer ready may still receive requests
   * @param retryRatio retries per request that all entries together may make
   * @param retryAllowance additional retries that all entries together may make within a window
   * @param retryWindowMillis length of the sliding window in which retries are counted
   * @param seed seed of the random number generator
   */
  public RelaySettings(
      Address listen,
      AvailabilityZone zone,
      ProtocolHeaderNames headerNames,
      long drainMillis,
      double retryRatio,
      double retryAllowance,
      long retryWindowMillis,
      long seed) {
    this(
        listen,
        zone,
        headerNames,
        drainMillis,
        drainMillis,
        retryRatio,
        retryAllowance,
        retryWindowMillis,
        seed,
        LimitMode.ENFORCE,
        OptionalLong.empty(),
        ProcessLimits.ofProcess());
  }
}
