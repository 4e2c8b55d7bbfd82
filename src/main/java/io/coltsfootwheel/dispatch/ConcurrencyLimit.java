package io.coltsfootwheel.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Number of slots of a target that its dispatcher uses.
 *
 * <p>It starts at 1 and rises by 1 after {@value #RAMP_REPLIES} replies in a row whose time is not
 * above {@value #SLOW_FACTOR} times the mean. Shedding lowers it at once.
 */
final class ConcurrencyLimit {
  private static final int RAMP_REPLIES = 4;
  private static final double SLOW_FACTOR = 2.0;
  private static final double MEAN_WEIGHT = 0.1;
  private static final long MIN_SHED_MILLIS = 50;

  /** A longer Retry-After would take a target out of service by a single response. */
  private static final long MAX_SHED_MILLIS = 2_000;

  private final int slots;
  private int limit = 1;
  private int goodReplies;
  private double meanNanos;
  private boolean shedding;
  private long shedUntilNanos;

  ConcurrencyLimit(int slots) {
    this.slots = slots;
  }

  int inUse(long nowNanos) {
    if (shedding && nowNanos - shedUntilNanos < 0) {
      return limit - 1;
    }
    shedding = false;
    return limit;
  }

  double meanNanos() {
    return meanNanos;
  }

  /** Returns the time until the shedding ends, 0 when there is none. */
  long shedMillis(long nowNanos) {
    boolean active = shedding && nowNanos - shedUntilNanos < 0;
    return active ? TimeUnit.NANOSECONDS.toMillis(shedUntilNanos - nowNanos) + 1 : 0;
  }

  void completed(long serviceNanos) {
    boolean slow = meanNanos > 0 && serviceNanos > SLOW_FACTOR * meanNanos;
    meanNanos =
        meanNanos == 0 ? serviceNanos : meanNanos + MEAN_WEIGHT * (serviceNanos - meanNanos);
    goodReplies = slow ? 0 : goodReplies + 1;
    if (goodReplies >= RAMP_REPLIES && limit < slots) {
      limit++;
      goodReplies = 0;
    }
  }

  void shed(long nowNanos, long retryAfterMillis) {
    if (!shedding) {
      limit = Math.max(1, limit - 1);
    }
    long millis = Math.max(MIN_SHED_MILLIS, Math.min(MAX_SHED_MILLIS, retryAfterMillis));
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    shedUntilNanos = shedding ? Math.max(shedUntilNanos, untilNanos) : untilNanos;
    shedding = true;
    goodReplies = 0;
  }
}
