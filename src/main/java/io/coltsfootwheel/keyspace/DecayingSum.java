package io.coltsfootwheel.keyspace;

import java.util.concurrent.TimeUnit;

/** Sum of values whose weight decays exponentially with their age. */
final class DecayingSum {
  /** Shortest observation time of a rate; over less, it would depend on a few values. */
  private static final double MIN_OBSERVATION_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final double timeConstantNanos;
  private double sum;
  private long updatedNanos;

  DecayingSum(long timeConstantMillis) {
    this.timeConstantNanos = TimeUnit.MILLISECONDS.toNanos(timeConstantMillis);
  }

  void add(long nowNanos, double amount) {
    sum = valueAt(nowNanos) + amount;
    updatedNanos = nowNanos;
  }

  double valueAt(long nowNanos) {
    return sum * Math.exp(-Math.max(0, nowNanos - updatedNanos) / timeConstantNanos);
  }

  /**
   * Returns the rate of additions. At a constant rate, the sum approaches its final value within a
   * few time constants; for a shorter observation time, the rate is extrapolated from the share of
   * the final value that has been reached.
   *
   * @param nowNanos monotonic time
   * @param sinceNanos time at which the observation of additions started
   */
  double ratePerSecond(long nowNanos, long sinceNanos) {
    return valueAt(nowNanos) * ratePerValue(nowNanos, sinceNanos, timeConstantNanos);
  }

  /** Returns the factor by which {@link #ratePerSecond} multiplies a decayed sum. */
  static double ratePerValue(long nowNanos, long sinceNanos, double timeConstantNanos) {
    double observedNanos = Math.max(MIN_OBSERVATION_NANOS, nowNanos - sinceNanos);
    double reachedShare = -Math.expm1(-observedNanos / timeConstantNanos);
    return TimeUnit.SECONDS.toNanos(1) / timeConstantNanos / reachedShare;
  }
}
