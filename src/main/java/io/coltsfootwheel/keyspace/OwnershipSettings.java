package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.PermitLimit;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.concurrent.TimeUnit;

/**
 * Timing of target reports and of the leases on keys, and limits of cold targets.
 *
 * @param reportIntervalMillis usual time between two reports of a target
 * @param holdMillis time for which a target may hold keys after it has sent a report
 * @param warmupOvershoot ratio to the rate that a cold target sustains, permitted within one second
 * @param warmupSlack requests that a cold target may receive in addition within one second
 */
public record OwnershipSettings(
    long reportIntervalMillis, long holdMillis, double warmupOvershoot, double warmupSlack) {
  /** Largest ratio of the rate of the leader's clock to the rate of a target's clock. */
  private static final double MAX_CLOCK_DRIFT = 1.02;

  /** Allows for the time between reading the clock and writing the answer to the socket. */
  private static final long LEASE_MARGIN_MILLIS = 100;

  /** Duration of a lease in report intervals: three reports in a row may be lost. */
  private static final double REPORTS_PER_LEASE = 3.5;

  private static final double DEFAULT_WARMUP_OVERSHOOT = 1.5;
  private static final double DEFAULT_WARMUP_SLACK = 8;

  /**
   * Derives the settings from the report interval, with the default limits of cold targets.
   *
   * @param reportIntervalMillis usual time between two reports of a target
   * @param maxHoldMillis longest hold that targets accept
   * @return the settings
   */
  public static OwnershipSettings of(long reportIntervalMillis, long maxHoldMillis) {
    return of(reportIntervalMillis, maxHoldMillis, DEFAULT_WARMUP_OVERSHOOT, DEFAULT_WARMUP_SLACK);
  }

  /**
   * Derives the settings from the report interval.
   *
   * @param reportIntervalMillis usual time between two reports of a target
   * @param maxHoldMillis longest hold that targets accept
   * @param warmupOvershoot permitted ratio to the rate that a cold target sustains
   * @param warmupSlack requests that a cold target may receive in addition within one second
   * @return the settings
   */
  public static OwnershipSettings of(
      long reportIntervalMillis, long maxHoldMillis, double warmupOvershoot, double warmupSlack) {
    long holdMillis = (long) Math.min(maxHoldMillis, REPORTS_PER_LEASE * reportIntervalMillis);
    return new OwnershipSettings(reportIntervalMillis, holdMillis, warmupOvershoot, warmupSlack);
  }

  /** Returns the limit of permits for a cold target that sustains a rate. */
  PermitLimit permitLimit(double requestsPerSecond) {
    return PermitLimit.of(requestsPerSecond, warmupOvershoot, warmupSlack);
  }

  /**
   * Returns the time after an answer, or after the end of a call, for which the target may still
   * hold the granted ranges: the hold time, plus allowances for a slow clock and for a delay in
   * sending.
   */
  long leaseNanos() {
    return TimeUnit.MILLISECONDS.toNanos(
        (long) (holdMillis * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MILLIS);
  }

  /**
   * Returns the time after the decision of an earlier leader for which a target may still hold the
   * ranges that it granted.
   */
  long leaseNanos(GrantMethod method) {
    return leaseNanos() + TimeUnit.MILLISECONDS.toNanos(method.maxLeaseStartDelayMillis());
  }
}
