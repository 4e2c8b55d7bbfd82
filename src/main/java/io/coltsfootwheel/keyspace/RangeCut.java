package io.coltsfootwheel.keyspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Splits a part with a desired load off a range: a prefix, a suffix or the whole range.
 *
 * <p>A range can be split between any two keys, so that a few adjacent keys that receive most of
 * the requests can be spread over several targets.
 */
final class RangeCut {
  /**
   * Largest load of a part relative to the desired load. Without such a tolerance, a single hot key
   * could never move.
   */
  private static final double MAX_EXCESS = 1.35;

  /** Smallest load of a part relative to the desired load; a smaller one is not worth a move. */
  private static final double MIN_SHARE = 0.25;

  private RangeCut() {}

  /** Part of a range with its load in requests per second. */
  record Part(KeyRange range, double requestsPerSecond) {
    double distanceTo(double desiredPerSecond) {
      return Math.abs(requestsPerSecond - desiredPerSecond);
    }
  }

  /** Returns the part whose load is closest to the desired load, if one is within the bounds. */
  static Optional<Part> closestPart(
      long nowNanos, KeyLoad load, KeyRange range, double desiredPerSecond) {
    List<Part> parts = new ArrayList<>();
    parts.add(new Part(range, load.requestsPerSecond(nowNanos, range)));
    largestPrefix(nowNanos, load, range, desiredPerSecond).ifPresent(parts::add);
    largestSuffix(nowNanos, load, range, desiredPerSecond).ifPresent(parts::add);
    return parts.stream()
        .filter(p -> p.requestsPerSecond() <= desiredPerSecond * MAX_EXCESS)
        .filter(p -> p.requestsPerSecond() >= desiredPerSecond * MIN_SHARE)
        .min(
            (a, b) ->
                Double.compare(a.distanceTo(desiredPerSecond), b.distanceTo(desiredPerSecond)));
  }

  private static Optional<Part> largestPrefix(
      long nowNanos, KeyLoad load, KeyRange range, double desiredPerSecond) {
    double prefixPerSecond = 0;
    int lastKey = -1;
    for (Map.Entry<Integer, DecayingSum> key : load.loadByKey(range).entrySet()) {
      double extendedPerSecond = prefixPerSecond + load.requestsPerSecond(nowNanos, key.getValue());
      if (extendedPerSecond > desiredPerSecond * MAX_EXCESS) {
        break;
      }
      prefixPerSecond = extendedPerSecond;
      lastKey = key.getKey();
    }
    return lastKey < 0 || lastKey == range.to()
        ? Optional.empty()
        : Optional.of(new Part(new KeyRange(range.from(), lastKey), prefixPerSecond));
  }

  private static Optional<Part> largestSuffix(
      long nowNanos, KeyLoad load, KeyRange range, double desiredPerSecond) {
    double remainingPerSecond = load.requestsPerSecond(nowNanos, range);
    for (Map.Entry<Integer, DecayingSum> key : load.loadByKey(range).entrySet()) {
      remainingPerSecond -= load.requestsPerSecond(nowNanos, key.getValue());
      if (remainingPerSecond <= desiredPerSecond * MAX_EXCESS) {
        return key.getKey() == range.to()
            ? Optional.empty()
            : Optional.of(
                new Part(
                    new KeyRange(key.getKey() + 1, range.to()), Math.max(0, remainingPerSecond)));
      }
    }
    return Optional.empty();
  }
}
