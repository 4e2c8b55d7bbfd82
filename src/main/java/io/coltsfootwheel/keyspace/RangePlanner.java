package io.coltsfootwheel.keyspace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

/**
 * Decides which ranges an overloaded target gives up, and which target receives a free range.
 *
 * <p>Designed for two load patterns: a few adjacent keys that suddenly receive most requests, and
 * targets that differ in speed. A target gives up ranges when its utilisation exceeds {@link
 * #BUSY_UTILISATION} and is well above the mean. The size of the parts is limited by the headroom
 * of the least utilised targets.
 */
final class RangePlanner {
  /** Below this utilisation, requests rarely queue, so a move would cost more than it gains. */
  static final double BUSY_UTILISATION = 0.55;

  /** Utilisation, relative to the mean, above which a target gives up ranges. */
  private static final double OVERLOAD_MEAN_RATIO = 1.3;

  /**
   * Utilisation, relative to the mean, that a target has after it gave up ranges. The distance to
   * {@link #OVERLOAD_MEAN_RATIO} is the hysteresis.
   */
  private static final double DESIRED_MEAN_RATIO = 1.1;

  /**
   * Standard deviations below which an excess may be a random fluctuation. It then justifies no
   * move, because the keys of a moving range are not served for a moment. Each target is checked
   * with each of its reports, so twice the deviation is exceeded by chance all the time.
   */
  private static final double SIGNIFICANT_DEVIATIONS = 3;

  /** Utilisation by a single key from which the key alone keeps its target busy. */
  private static final double FULL_UTILISATION = 0.9;

  /** Time per request, relative to the current owner, below which moving a hot key pays off. */
  private static final double MAX_RELATIVE_SERVICE_TIME = 0.65;

  /**
   * Part of the limit of a cold target without keys that its first range uses. The rest allows for
   * the load of the range to vary between its choice and its assignment.
   */
  private static final double FIRST_RANGE_COLD_RATIO = 0.6;

  /** Largest number of parts that a target gives up in the answer to one report. */
  private static final int MAX_PARTS = 12;

  /** Limits the size of the answers to the reports of a target. */
  private static final int MAX_RANGES_PER_TARGET = 48;

  /** Number of ranges above which a target gives cold ones to the owners of adjacent keys. */
  private static final int CONSOLIDATION_RANGES = 24;

  /** Load below which a range may move just to reduce the number of ranges. */
  private static final double COLD_REQUESTS_PER_SECOND = 0.5;

  /**
   * Penalty, in units of utilisation, for a receiver that owns no adjacent keys; adjacent ranges of
   * one owner can be joined.
   */
  private static final double NO_NEIGHBOUR_PENALTY = 0.1;

  /**
   * Penalty, in units of utilisation, for each second until the receiver can be granted a range.
   */
  private static final double WAIT_PENALTY_PER_SECOND = 0.4;

  /**
   * Penalty, in units of utilisation, for a receiver that owns ranges already. Without it and while
   * there is no load, ranges released for a target without keys would go to other targets.
   */
  private static final double HAS_RANGES_PENALTY = 0.5;

  private RangePlanner() {}

  /**
   * Returns the parts that an overloaded target should give up, at most one of each range. A target
   * releases adjacent parts as one range with one handover token, which would be valid for neither
   * of them. It reports again soon after a release and can give up the next part then.
   */
  static List<KeyRange> rangesToOffload(
      long nowNanos, TargetRecord target, List<OwnedRange> owned, ServiceLoad load, KeyLoad keys) {
    double mean = load.meanUtilisation();
    OptionalDouble coldLimit = load.coldLimitPerSecond(target);
    if (coldLimit.isPresent()) {
      double excessPerSecond = load.requestsPerSecond(target.id()) - coldLimit.getAsDouble();
      double receiverUtilisation = Math.max(BUSY_UTILISATION, mean * DESIRED_MEAN_RATIO);
      return partsOf(nowNanos, target, owned, load, keys, excessPerSecond, receiverUtilisation);
    }
    double utilisation = load.utilisation(target);
    if (utilisation <= Math.max(BUSY_UTILISATION, OVERLOAD_MEAN_RATIO * mean)) {
      return List.of();
    }
    double desiredUtilisation = Math.max(mean * DESIRED_MEAN_RATIO, 0);
    double requestsPerSecondPerUtilisation = load.requestsPerSecond(target.id()) / utilisation;
    double excessPerSecond = (utilisation - desiredUtilisation) * requestsPerSecondPerUtilisation;
    double deviationPerSecond =
        keys.standardDeviationPerSecond(
            nowNanos, desiredUtilisation * requestsPerSecondPerUtilisation);
    if (excessPerSecond < SIGNIFICANT_DEVIATIONS * deviationPerSecond) {
      return List.of();
    }
    return partsOf(nowNanos, target, owned, load, keys, excessPerSecond, desiredUtilisation);
  }

  /** Returns parts with a load of about {@code excessPerSecond} for which receivers have room. */
  private static List<KeyRange> partsOf(
      long nowNanos,
      TargetRecord target,
      List<OwnedRange> owned,
      ServiceLoad load,
      KeyLoad keys,
      double excessPerSecond,
      double receiverUtilisation) {
    List<KeyRange> remaining = new ArrayList<>(owned.stream().map(OwnedRange::range).toList());
    List<KeyRange> parts = new ArrayList<>();
    double missingPerSecond = excessPerSecond;
    for (double headroom : headroomsPerSecond(target, load, receiverUtilisation)) {
      if (missingPerSecond <= 0 || parts.size() >= MAX_PARTS) {
        break;
      }
      Optional<RangeCut.Part> part =
          bestPart(nowNanos, remaining, keys, Math.min(headroom, missingPerSecond));
      if (part.isPresent()) {
        parts.add(part.get().range());
        missingPerSecond -= part.get().requestsPerSecond();
        KeyRange taken = part.get().range();
        remaining.removeIf(r -> r.overlaps(taken));
      }
    }
    return parts;
  }

  /**
   * Returns the hottest key of a target if it alone keeps the target busy and a much faster target
   * could serve it. Splitting does not help here, so such a key belongs on one of the fastest
   * targets.
   */
  static Optional<KeyRange> hotKeyToRelocate(
      long nowNanos, TargetRecord target, List<OwnedRange> owned, ServiceLoad load, KeyLoad keys) {
    Optional<RangeCut.Part> hottest =
        owned.stream()
            .flatMap(r -> keys.loadByKey(r.range()).entrySet().stream())
            .map(
                k ->
                    new RangeCut.Part(
                        new KeyRange(k.getKey(), k.getKey()),
                        keys.requestsPerSecond(nowNanos, k.getValue())))
            .max(Comparator.comparingDouble(RangeCut.Part::requestsPerSecond));
    return hottest
        .filter(p -> load.utilisationOf(target, p.requestsPerSecond()) > FULL_UTILISATION)
        .filter(
            p ->
                load.receivers().stream()
                    .anyMatch(
                        t ->
                            load.utilisationOf(t, p.requestsPerSecond())
                                < MAX_RELATIVE_SERVICE_TIME
                                    * load.utilisationOf(target, p.requestsPerSecond())))
        .map(RangeCut.Part::range);
  }

  /**
   * Returns a part with about half of the load of a target, or less if the receiver is cold. If
   * there is none, for example without load, returns half of the keys of its widest range.
   *
   * @param coldLimit requests per second that the receiver sustains, or empty when it is warm
   */
  static Optional<KeyRange> halfOfLoad(
      long nowNanos,
      TargetRecord target,
      List<OwnedRange> owned,
      ServiceLoad load,
      KeyLoad keys,
      OptionalDouble coldLimit) {
    double desiredPerSecond =
        Math.min(
            load.requestsPerSecond(target.id()) / 2,
            FIRST_RANGE_COLD_RATIO * coldLimit.orElse(Double.POSITIVE_INFINITY));
    List<KeyRange> ranges = owned.stream().map(OwnedRange::range).toList();
    Optional<KeyRange> byLoad =
        bestPart(nowNanos, ranges, keys, desiredPerSecond).map(RangeCut.Part::range);
    return byLoad.or(
        () ->
            ranges.stream()
                .max(Comparator.comparingInt(KeyRange::width))
                .filter(r -> r.width() > 1)
                .map(r -> new KeyRange(r.from() + r.width() / 2, r.to())));
  }

  /**
   * Returns a cold range that is adjacent to keys of another target, if the target has many ranges.
   * Without such moves, hot spots that change their place split the keys into ever more ranges. A
   * range adjacent to other keys of the same target stays, because it will be joined with them.
   */
  static Optional<KeyRange> isolatedColdRange(
      long nowNanos, TargetRecord target, List<OwnedRange> owned, ServiceLoad load, KeyLoad keys) {
    if (owned.size() <= CONSOLIDATION_RANGES) {
      return Optional.empty();
    }
    return owned.stream()
        .map(OwnedRange::range)
        .filter(r -> keys.requestsPerSecond(nowNanos, r) < COLD_REQUESTS_PER_SECOND)
        .filter(r -> !load.ownsNeighbour(target.id(), r))
        .filter(r -> load.receivers().stream().anyMatch(t -> load.ownsNeighbour(t.id(), r)))
        .min(Comparator.comparingInt(KeyRange::width));
  }

  /**
   * Chooses the receiver of a range that no target holds: the one with the lowest utilisation plus
   * penalties among the targets below the limit of ranges, otherwise the one with fewest ranges.
   */
  static Optional<TargetRecord> chooseReceiver(
      ServiceLoad load,
      KeyRange range,
      double rangePerSecond,
      ToDoubleFunction<TargetRecord> waitSeconds) {
    ToDoubleFunction<TargetRecord> cost =
        t ->
            (load.rangeCount(t.id()) == 0 ? 0 : HAS_RANGES_PENALTY)
                + (load.ownsNeighbour(t.id(), range) ? 0 : NO_NEIGHBOUR_PENALTY)
                + load.utilisation(t, rangePerSecond)
                + waitCost(rangePerSecond, waitSeconds.applyAsDouble(t));
    return load.receivers().stream()
        .filter(t -> load.rangeCount(t.id()) < MAX_RANGES_PER_TARGET)
        .filter(t -> load.sustains(t, rangePerSecond))
        .min(Comparator.comparingDouble(cost))
        .or(
            () ->
                load.receivers().stream()
                    .min(
                        Comparator.comparing((TargetRecord t) -> !load.sustains(t, rangePerSecond))
                            .thenComparingInt(t -> load.rangeCount(t.id()))));
  }

  /**
   * Returns the penalty for the time until a receiver can be granted a range. Below 1 request per
   * second it shrinks with the load, because no requests wait for a range without load.
   */
  private static double waitCost(double rangePerSecond, double waitSeconds) {
    return WAIT_PENALTY_PER_SECOND * Math.min(1, rangePerSecond) * waitSeconds;
  }

  private static List<Double> headroomsPerSecond(
      TargetRecord source, ServiceLoad load, double desiredUtilisation) {
    return load.receivers().stream()
        .filter(t -> !t.id().equals(source.id()))
        .map(t -> load.headroomPerSecond(t, desiredUtilisation))
        .filter(headroom -> headroom > 0)
        .sorted(Comparator.reverseOrder())
        .toList();
  }

  private static Optional<RangeCut.Part> bestPart(
      long nowNanos, List<KeyRange> ranges, KeyLoad keys, double desiredPerSecond) {
    if (desiredPerSecond <= 0) {
      return Optional.empty();
    }
    Optional<RangeCut.Part> narrowest =
        ranges.stream()
            .flatMap(r -> RangeCut.narrowestPart(nowNanos, keys, r, desiredPerSecond).stream())
            .min(Comparator.comparingInt(p -> p.range().width()));
    return narrowest.or(
        () ->
            ranges.stream()
                .flatMap(r -> RangeCut.closestPart(nowNanos, keys, r, desiredPerSecond).stream())
                .min(Comparator.comparingDouble(p -> p.distanceTo(desiredPerSecond))));
  }
}
