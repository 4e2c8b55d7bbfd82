package io.coltsfootwheel.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive limit on the number of requests in flight to one target.
 *
 * <p>The limit starts at 1 and rises by 1, up to the slots of the target, after {@value
 * #REPLIES_PER_INCREASE} consecutive replies that each took at most {@value #SLOW_REPLY_FACTOR}
 * times the mean service time. When the target starts to shed load, the limit is lowered by 1, but
 * not below 1. Until the shedding period ends, one request less than this limit may be in flight,
 * which may be none.
 */
final class ConcurrencyLimit {
  private static final int REPLIES_PER_INCREASE = 4;
  private static final double SLOW_REPLY_FACTOR = 2.0;
  private static final double NEW_SAMPLE_WEIGHT = 0.1;
  private static final long MIN_SHEDDING_MILLIS = 50;

  /**
   * Longest time for which one refusal lowers the limit. A longer pause that the target asked for
   * is kept by {@link io.coltsfootwheel.model.TargetNotices}.
   */
  private static final long MAX_SHEDDING_MILLIS = 2_000;

  private int maxLimit;
  private int limit = 1;
  private int consecutiveFastReplies;
  private double meanServiceNanos;
  private boolean shedding;
  private long shedUntilNanos;

  ConcurrencyLimit(int maxLimit) {
    this.maxLimit = maxLimit;
  }

  /** Sets another number of slots, which the target has announced. */
  void setMaxLimit(int newMaxLimit) {
    maxLimit = newMaxLimit;
    limit = Math.min(limit, newMaxLimit);
  }

  int current(long nowNanos) {
    if (shedding && nowNanos - shedUntilNanos < 0) {
      return limit - 1;
    }
    shedding = false;
    return limit;
  }

  double meanServiceNanos() {
    return meanServiceNanos;
  }

  /** Returns the time until the shedding period ends, 0 when the target is not shedding load. */
  long remainingSheddingMillis(long nowNanos) {
    boolean active = shedding && nowNanos - shedUntilNanos < 0;
    return active ? TimeUnit.NANOSECONDS.toMillis(shedUntilNanos - nowNanos) + 1 : 0;
  }

  void recordReply(long serviceNanos) {
    boolean slow = meanServiceNanos > 0 && serviceNanos > SLOW_REPLY_FACTOR * meanServiceNanos;
    meanServiceNanos =
        meanServiceNanos == 0
            ? serviceNanos
            : meanServiceNanos + NEW_SAMPLE_WEIGHT * (serviceNanos - meanServiceNanos);
    consecutiveFastReplies = slow ? 0 : consecutiveFastReplies + 1;
    if (consecutiveFastReplies >= REPLIES_PER_INCREASE && limit < maxLimit) {
      limit++;
      consecutiveFastReplies = 0;
    }
  }

  void startShedding(long nowNanos, long retryAfterMillis) {
    if (!shedding) {
      limit = Math.max(1, limit - 1);
    }
    long shedMillis =
        Math.max(MIN_SHEDDING_MILLIS, Math.min(MAX_SHEDDING_MILLIS, retryAfterMillis));
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(shedMillis);
    shedUntilNanos = shedding ? Math.max(shedUntilNanos, untilNanos) : untilNanos;
    shedding = true;
    consecutiveFastReplies = 0;
  }
}
