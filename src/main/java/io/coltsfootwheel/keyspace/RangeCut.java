package io.coltsfootwheel.keyspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Splits a part with a desired load off a range: a prefix, a suffix, the whole range, or a few
 * adjacent keys in its middle that receive far more requests than the others.
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

  /** Smallest load of a narrow part relative to the desired load. */
  private static final double MIN_NARROW_SHARE = 0.75;

  /**
   * Load per key of a narrow part, relative to that of its range. Below it, a part in the middle
   * moves hardly fewer keys than one at an end, and divides the range in three.
   */
  private static final double MIN_DENSITY_RATIO = 2;

  /**
   * Standard deviations that the load of a narrow part must exceed. Requests that arrive at random
   * also form small clusters, which are gone when the part has moved.
   */
  private static final double MIN_DEVIATIONS = 2;

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

  /**
   * Returns the narrowest part with at most the desired load and not much less, if its keys receive
   * far more requests than the others of the range. Keys that move are not served for a moment, so
   * a part should contain few of them.
   */
  static Optional<Part> narrowestPart(
      long nowNanos, KeyLoad load, KeyRange range, double desiredPerSecond) {
    List<Map.Entry<Integer, DecayingSum>> keys = new ArrayList<>(load.loadByKey(range).entrySet());
    double rangePerSecond = load.requestsPerSecond(nowNanos, range);
    Optional<Part> narrowest = Optional.empty();
    double partPerSecond = 0;
    int first = 0;
    for (Map.Entry<Integer, DecayingSum> last : keys) {
      partPerSecond += load.requestsPerSecond(nowNanos, last.getValue());
      while (partPerSecond > desiredPerSecond && keys.get(first) != last) {
        partPerSecond -= load.requestsPerSecond(nowNanos, keys.get(first).getValue());
        first++;
      }
      Part part = new Part(new KeyRange(keys.get(first).getKey(), last.getKey()), partPerSecond);
      boolean isNarrower =
          narrowest.filter(p -> p.range().width() <= part.range().width()).isEmpty();
      if (isNarrower
          && isWithin(part.requestsPerSecond(), desiredPerSecond)
          && isDense(part, range, rangePerSecond)
          && isSignificant(nowNanos, load, part)) {
        narrowest = Optional.of(part);
      }
    }
    return narrowest;
  }

  private static boolean isWithin(double partPerSecond, double desiredPerSecond) {
    return partPerSecond >= MIN_NARROW_SHARE * desiredPerSecond
        && partPerSecond <= MAX_EXCESS * desiredPerSecond;
  }

  private static boolean isDense(Part part, KeyRange range, double rangePerSecond) {
    double partDensity = part.requestsPerSecond() / part.range().width();
    return partDensity >= MIN_DENSITY_RATIO * rangePerSecond / range.width();
  }

  private static boolean isSignificant(long nowNanos, KeyLoad load, Part part) {
    double perSecond = part.requestsPerSecond();
    return perSecond >= MIN_DEVIATIONS * load.standardDeviationPerSecond(nowNanos, perSecond);
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
