package io.coltsfootwheel.model;

import java.util.concurrent.TimeUnit;

/** Durations on which the safety and availability of leases depend; see docs/design.md. */
public final class ControlTiming {
  /** Interval between lease renewals of an instance. */
  public static final int RENEW_INTERVAL_MILLIS = 100;

  /** Length of an instance lease, from the send time of the renewal. */
  public static final int LEASE_MILLIS = 400;

  /** Interval between grants sent to a target. */
  public static final int GRANT_INTERVAL_MILLIS = 100;

  /** Life of a target grant, from its arrival at the target. */
  public static final int GRANT_TTL_MILLIS = 400;

  /** Time without an answer after which a dispatcher suspects its target. */
  public static final int TARGET_SUSPECT_MILLIS = 250;

  /** Longest time that an instance admits requests without contact to the control group. */
  public static final int STALE_LISTS_MILLIS = 3_000;

  private static final double MAX_CLOCK_DRIFT = 0.01;
  private static final int MARGIN_MILLIS = 20;

  private ControlTiming() {}

  /**
   * Returns how long a grantor waits until a holder's time has certainly run out.
   *
   * @param holderMillis time that the holder counts on
   * @return the time with clock drift and a margin, in nanoseconds
   */
  public static long grantorWaitNanos(int holderMillis) {
    long millis = Math.round(Math.ceil(holderMillis * (1 + MAX_CLOCK_DRIFT))) + MARGIN_MILLIS;
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
