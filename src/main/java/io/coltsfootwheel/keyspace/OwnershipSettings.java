package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.routing.GrantMethod;
import java.util.concurrent.TimeUnit;

/**
 * Timing of target reports and of the leases on keys.
 *
 * @param reportIntervalMillis usual time between two reports of a target
 * @param holdMillis time for which a target may hold keys after it has sent a report
 */
public record OwnershipSettings(long reportIntervalMillis, long holdMillis) {
  /** Largest ratio of the rate of the leader's clock to the rate of a target's clock. */
  private static final double MAX_CLOCK_DRIFT = 1.02;

  /** Allows for the time between reading the clock and writing the answer to the socket. */
  private static final long LEASE_MARGIN_MILLIS = 100;

  /** Duration of a lease in report intervals: three reports in a row may be lost. */
  private static final double REPORTS_PER_LEASE = 3.5;

  /**
   * Derives the settings from the report interval.
   *
   * @param reportIntervalMillis usual time between two reports of a target
   * @param maxHoldMillis longest hold that targets accept
   * @return the settings
   */
  public static OwnershipSettings of(long reportIntervalMillis, long maxHoldMillis) {
    long holdMillis = (long) Math.min(maxHoldMillis, REPORTS_PER_LEASE * reportIntervalMillis);
    return new OwnershipSettings(reportIntervalMillis, holdMillis);
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
