package io.coltsfootwheel.keyspace;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Sums of values over ranges of keys, where the weight of a value decays exponentially with its
 * age.
 *
 * <p>All keys share one time constant, so values are stored as of a common reference time, in a
 * Fenwick tree: the sum of a range needs a few additions and one exponential, however many keys the
 * range has.
 */
final class DecayingKeySums {
  /** Age of the reference time, in time constants, at which values are moved to a later one. */
  private static final double MAX_REFERENCE_AGE = 20;

  private final double timeConstantNanos;
  private final double[] tree = new double[KeyRange.ALL.width() + 1];
  private long referenceNanos;

  DecayingKeySums(long timeConstantMillis) {
    this.timeConstantNanos = TimeUnit.MILLISECONDS.toNanos(timeConstantMillis);
  }

  void add(long nowNanos, int key, double amount) {
    if (ageOfReference(nowNanos) > MAX_REFERENCE_AGE) {
      moveReference(nowNanos);
    }
    double amountAtReference = amount * Math.exp(ageOfReference(nowNanos));
    for (int node = key + 1; node < tree.length; node += Integer.lowestOneBit(node)) {
      tree[node] += amountAtReference;
    }
  }

  /** Returns the decayed sum of the values of a range. */
  double valueAt(long nowNanos, KeyRange range) {
    double sumAtReference = sumBelow(range.to() + 1) - sumBelow(range.from());
    return Math.max(0, sumAtReference) * Math.exp(-ageOfReference(nowNanos));
  }

  /** Removes all values. */
  void clear(long nowNanos) {
    Arrays.fill(tree, 0);
    referenceNanos = nowNanos;
  }

  private double sumBelow(int key) {
    double sum = 0;
    for (int node = key; node > 0; node -= Integer.lowestOneBit(node)) {
      sum += tree[node];
    }
    return sum;
  }

  private double ageOfReference(long nowNanos) {
    return Math.max(0, nowNanos - referenceNanos) / timeConstantNanos;
  }

  private void moveReference(long nowNanos) {
    double decay = Math.exp(-ageOfReference(nowNanos));
    for (int node = 1; node < tree.length; node++) {
      tree[node] *= decay;
    }
    referenceNanos = nowNanos;
  }
}
