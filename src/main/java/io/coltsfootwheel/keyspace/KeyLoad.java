package io.coltsfootwheel.keyspace;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Recent load of the keys of one service, in requests per second. */
final class KeyLoad {
  /** Short enough to detect a new hot key within a second, long enough to average over requests. */
  private static final long TIME_CONSTANT_MILLIS = 2_000;

  /** Window over which a plain count of requests has the same relative error as the sum. */
  private static final double WINDOW_SECONDS = 2.0 * TIME_CONSTANT_MILLIS / 1_000;

  private static final double MIN_WINDOW_SECONDS = 0.4;

  /** Load below which the statistics of a key are evicted. */
  private static final double NEGLIGIBLE_PER_SECOND = 0.01;

  private final TreeMap<Integer, DecayingSum> byKey = new TreeMap<>();

  /** The sums of {@link #byKey} again, for ranges of many keys. */
  private final DecayingKeySums sums = new DecayingKeySums(TIME_CONSTANT_MILLIS);

  private long firstNanos;

  void add(long nowNanos, Map<Integer, Integer> requestsByKey) {
    if (byKey.isEmpty()) {
      firstNanos = nowNanos;
    }
    requestsByKey.forEach(
        (key, count) -> {
          byKey
              .computeIfAbsent(key, k -> new DecayingSum(TIME_CONSTANT_MILLIS))
              .add(nowNanos, count);
          sums.add(nowNanos, key, count);
        });
  }

  /**
   * Evicts idle keys, and computes the sums of ranges anew so that rounding errors do not add up.
   */
  void evictIdle(long nowNanos) {
    byKey.values().removeIf(sum -> requestsPerSecond(nowNanos, sum) < NEGLIGIBLE_PER_SECOND);
    sums.clear(nowNanos);
    byKey.forEach((key, sum) -> sums.add(nowNanos, key, sum.valueAt(nowNanos)));
  }

  double requestsPerSecond(long nowNanos, KeyRange range) {
    Integer firstKey = byKey.ceilingKey(range.from());
    if (firstKey == null || firstKey > range.to()) {
      return 0;
    }
    return sums.valueAt(nowNanos, range)
        * DecayingSum.ratePerValue(
            nowNanos, firstNanos, TimeUnit.MILLISECONDS.toNanos(TIME_CONSTANT_MILLIS));
  }

  double requestsPerSecond(long nowNanos, DecayingSum key) {
    return key.ratePerSecond(nowNanos, firstNanos);
  }

  /** Returns the standard deviation of a measured rate, since requests arrive at random. */
  double standardDeviationPerSecond(long nowNanos, double requestsPerSecond) {
    double observedSeconds = (double) (nowNanos - firstNanos) / TimeUnit.SECONDS.toNanos(1);
    double windowSeconds = Math.max(MIN_WINDOW_SECONDS, Math.min(WINDOW_SECONDS, observedSeconds));
    return Math.sqrt(Math.max(0, requestsPerSecond) / windowSeconds);
  }

  /**
   * Returns the decaying request counts of the recently requested keys of a range, in key order.
   */
  SortedMap<Integer, DecayingSum> loadByKey(KeyRange range) {
    return byKey.subMap(range.from(), true, range.to(), true);
  }
}
