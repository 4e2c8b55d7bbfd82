package io.coltsfootwheel.keyspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Cuts a part with a wanted load from a range: a prefix, a suffix or the whole range.
 *
 * <p>It answers the load in which a few neighbouring keys receive most requests: cuts are made
 * between single keys, so that a hot neighbourhood can be spread over several targets.
 */
final class RangeCut {
  /** A part may carry this much more than wanted; otherwise one hot key could never move. */
  private static final double MAX_EXCESS = 1.35;

  /** A part with less than this share of the wanted load is not worth a move. */
  private static final double MIN_SHARE = 0.25;

  private RangeCut() {}

  /** Part of a range with its load. */
  record Part(KeyRange range, double perSecond) {
    double distanceTo(double wantedPerSecond) {
      return Math.abs(perSecond - wantedPerSecond);
    }
  }

  static Optional<Part> best(long nowNanos, KeyLoad load, KeyRange range, double wantedPerSecond) {
    List<Part> parts = new ArrayList<>();
    parts.add(new Part(range, load.perSecond(nowNanos, range)));
    largestPrefix(nowNanos, load, range, wantedPerSecond).ifPresent(parts::add);
    largestSuffix(nowNanos, load, range, wantedPerSecond).ifPresent(parts::add);
    return parts.stream()
        .filter(p -> p.perSecond() <= wantedPerSecond * MAX_EXCESS)
        .filter(p -> p.perSecond() >= wantedPerSecond * MIN_SHARE)
        .min(
            (a, b) -> Double.compare(a.distanceTo(wantedPerSecond), b.distanceTo(wantedPerSecond)));
  }

  private static Optional<Part> largestPrefix(
      long nowNanos, KeyLoad load, KeyRange range, double wantedPerSecond) {
    double sum = 0;
    int last = -1;
    for (Map.Entry<Integer, DecayingSum> key : load.keysOf(range).entrySet()) {
      double next = sum + load.perSecond(nowNanos, key.getValue());
      if (next > wantedPerSecond * MAX_EXCESS) {
        break;
      }
      sum = next;
      last = key.getKey();
    }
    return last < 0 || last == range.to()
        ? Optional.empty()
        : Optional.of(new Part(new KeyRange(range.from(), last), sum));
  }

  private static Optional<Part> largestSuffix(
      long nowNanos, KeyLoad load, KeyRange range, double wantedPerSecond) {
    double rest = load.perSecond(nowNanos, range);
    for (Map.Entry<Integer, DecayingSum> key : load.keysOf(range).entrySet()) {
      rest -= load.perSecond(nowNanos, key.getValue());
      if (rest <= wantedPerSecond * MAX_EXCESS) {
        return key.getKey() == range.to()
            ? Optional.empty()
            : Optional.of(new Part(new KeyRange(key.getKey() + 1, range.to()), Math.max(0, rest)));
      }
    }
    return Optional.empty();
  }
}
