package io.coltsfootwheel.keyspace;

import java.util.concurrent.TimeUnit;

/** Sum whose parts lose weight exponentially with their age. */
final class DecayingSum {
  /** Rates over less than this are chance. */
  private static final double MIN_OBSERVED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final double timeConstantNanos;
  private double sum;
  private long updatedNanos;

  DecayingSum(long timeConstantMillis) {
    this.timeConstantNanos = TimeUnit.MILLISECONDS.toNanos(timeConstantMillis);
  }

  void add(long nowNanos, double amount) {
    sum = at(nowNanos) + amount;
    updatedNanos = nowNanos;
  }

  double at(long nowNanos) {
    return sum * Math.exp(-Math.max(0, nowNanos - updatedNanos) / timeConstantNanos);
  }

  /**
   * Returns the rate of additions. The sum of a steady rate rises to its final value within a few
   * time constants, so a sum that has been kept for a shorter time counts for more.
   *
   * @param nowNanos monotonic time
   * @param sinceNanos time at which additions were first observed
   */
  double perSecond(long nowNanos, long sinceNanos) {
    double observedNanos = Math.max(MIN_OBSERVED_NANOS, nowNanos - sinceNanos);
    double reached = -Math.expm1(-observedNanos / timeConstantNanos);
    return at(nowNanos) / timeConstantNanos / reached * TimeUnit.SECONDS.toNanos(1);
  }
}
