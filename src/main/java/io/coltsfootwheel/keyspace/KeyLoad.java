package io.coltsfootwheel.keyspace;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Recent requests per second of the keys of one service. */
final class KeyLoad {
  /** Short enough to see a new hot key within a second, long enough to smooth a few requests. */
  private static final long TIME_CONSTANT_MILLIS = 1_500;

  private static final double NEGLIGIBLE_PER_SECOND = 0.01;

  private final TreeMap<Integer, DecayingSum> byKey = new TreeMap<>();
  private long firstNanos;

  void add(long nowNanos, Map<Integer, Integer> requestsByKey) {
    if (byKey.isEmpty()) {
      firstNanos = nowNanos;
    }
    requestsByKey.forEach(
        (key, count) ->
            byKey
                .computeIfAbsent(key, k -> new DecayingSum(TIME_CONSTANT_MILLIS))
                .add(nowNanos, count));
  }

  void forgetIdle(long nowNanos) {
    byKey.values().removeIf(sum -> perSecond(nowNanos, sum) < NEGLIGIBLE_PER_SECOND);
  }

  double perSecond(long nowNanos, KeyRange range) {
    return keysOf(range).values().stream().mapToDouble(s -> perSecond(nowNanos, s)).sum();
  }

  double perSecond(long nowNanos, DecayingSum key) {
    return key.perSecond(nowNanos, firstNanos);
  }

  /** Returns the keys of a range that had requests lately, in their order. */
  SortedMap<Integer, DecayingSum> keysOf(KeyRange range) {
    return byKey.subMap(range.from(), true, range.to(), true);
  }
}
