package io.coltsfootwheel.model;

import java.util.concurrent.TimeUnit;

/** Durations that determine the safety and availability of leases; see docs/design.md. */
public final class ControlTiming {
  /** Interval between lease renewals of an instance. */
  public static final int RENEW_INTERVAL_MILLIS = 100;

  /** Duration of an instance lease, counted from the send time of the renewal. */
  public static final int LEASE_MILLIS = 400;

  /** Interval between grants sent to a target. */
  public static final int GRANT_INTERVAL_MILLIS = 100;

  /** Duration of a target grant, counted from its arrival at the target. */
  public static final int GRANT_TTL_MILLIS = 400;

  /** Time without an answer after which a dispatcher reports its target as suspect. */
  public static final int TARGET_SUSPECT_MILLIS = 250;

  /**
   * Longest time that an instance admits requests without contact to the control group, since its
   * policy lists may be outdated.
   */
  public static final int STALE_LISTS_MILLIS = 3_000;

  private static final double MAX_CLOCK_DRIFT_RATIO = 0.01;
  private static final int WAIT_MARGIN_MILLIS = 20;

  private ControlTiming() {}

  /**
   * Returns how long a grantor waits until a lease or grant has expired on the holder's clock too.
   *
   * @param holderMillis duration of the lease or grant on the holder's clock
   * @return the duration extended by the largest clock drift and a margin, in nanoseconds
   */
  public static long grantorWaitNanos(int holderMillis) {
    long waitMillis =
        Math.round(Math.ceil(holderMillis * (1 + MAX_CLOCK_DRIFT_RATIO))) + WAIT_MARGIN_MILLIS;
    return TimeUnit.MILLISECONDS.toNanos(waitMillis);
  }
}
