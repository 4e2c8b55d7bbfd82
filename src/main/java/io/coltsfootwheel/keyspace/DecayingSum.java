package io.coltsfootwheel.keyspace;

import java.util.concurrent.TimeUnit;

/** Sum whose parts lose weight exponentially with their age. */
final class DecayingSum {
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

  /** Returns the rate that leads to the present sum when it is steady. */
  double perSecond(long nowNanos) {
    return at(nowNanos) / timeConstantNanos * TimeUnit.SECONDS.toNanos(1);
  }
}
