package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Predicted utilisation of the targets of one keyed service, after all moves in progress.
 *
 * <p>Load that moves away from a target is subtracted from it at once. Usage: create one instance
 * for each decision, and call {@link #addLoad} for each range that the decision assigns.
 */
final class ServiceLoad {
  /** Avoids a division by 0 when cold targets sustain no load at all. */
  private static final double MIN_COLD_LIMIT_PER_SECOND = 1e-3;

  private final long nowNanos;
  private final LoadStatistics loadStatistics;
  private final Map<TargetId, TargetRecord> receivers = new LinkedHashMap<>();
  private final Map<TargetId, Double> requestsPerSecond = new LinkedHashMap<>();
  private final Map<TargetId, Double> secondsPerRequest;
  private final RangeTable table;

  /** Requests per second that the cold targets sustain. */
  private final Map<TargetId, Double> coldLimits;

  private final double meanSecondsPerRequest;
  private OptionalDouble meanUtilisation = OptionalDouble.empty();

  ServiceLoad(
      long nowNanos,
      LoadStatistics loadStatistics,
      ServiceName service,
      FleetState state,
      Collection<RangeMove> moves,
      List<TargetRecord> receivers,
      Map<TargetId, Double> coldLimits) {
    this.nowNanos = nowNanos;
    this.loadStatistics = loadStatistics;
    this.coldLimits = coldLimits;
    this.table = state.table(service);
    this.secondsPerRequest = new HashMap<>();
    receivers.forEach(t -> this.receivers.put(t.id(), t));
    this.meanSecondsPerRequest =
        receivers.stream().mapToDouble(this::secondsPerRequest).average().orElse(1);
    for (OwnedRange owned : table.ranges()) {
      requestsPerSecond.merge(
          owned.owner(),
          loadStatistics.keyLoad(service).requestsPerSecond(nowNanos, owned.range()),
          Double::sum);
    }
    for (RangeMove move : moves) {
      if (move.service().equals(service)) {
        requestsPerSecond.merge(
            move.from(),
            -loadStatistics.keyLoad(service).requestsPerSecond(nowNanos, move.range()),
            Double::sum);
      }
    }
  }

  private ServiceLoad(ServiceLoad other, TargetId excludedReceiver) {
    nowNanos = other.nowNanos;
    loadStatistics = other.loadStatistics;
    secondsPerRequest = other.secondsPerRequest;
    table = other.table;
    coldLimits = other.coldLimits;
    meanSecondsPerRequest = other.meanSecondsPerRequest;
    receivers.putAll(other.receivers);
    receivers.remove(excludedReceiver);
    requestsPerSecond.putAll(other.requestsPerSecond);
  }

  ServiceLoad withoutReceiver(TargetId receiver) {
    return new ServiceLoad(this, receiver);
  }

  double requestsPerSecond(TargetId target) {
    return Math.max(0, requestsPerSecond.getOrDefault(target, 0.0));
  }

  double utilisation(TargetRecord target) {
    return utilisation(target, 0);
  }

  /**
   * Returns the utilisation of a target after it has received additional load, weighted by its
   * slowness: a request takes longer at a slow target, so less of the latency objective is left for
   * queueing.
   */
  double utilisation(TargetRecord target, double morePerSecond) {
    return slownessWeight(target)
        * utilisationOf(target, requestsPerSecond(target.id()) + morePerSecond);
  }

  /** Returns the requests per second that a target sustains, or empty when it is not cold. */
  OptionalDouble coldLimitPerSecond(TargetRecord target) {
    Double limit = coldLimits.get(target.id());
    return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit);
  }

  /** Returns whether a target can take additional load; a cold one takes no more than its limit. */
  boolean sustains(TargetRecord target, double morePerSecond) {
    OptionalDouble limit = coldLimitPerSecond(target);
    return limit.isEmpty() || requestsPerSecond(target.id()) + morePerSecond <= limit.getAsDouble();
  }

  private double slownessWeight(TargetRecord target) {
    if (coldLimits.containsKey(target.id())) {
      return 1;
    }
    return Math.sqrt(secondsPerRequest(target) / meanSecondsPerRequest);
  }

  private double secondsPerRequest(TargetRecord target) {
    return secondsPerRequest.computeIfAbsent(
        target.id(), id -> loadStatistics.targetLoad(id).secondsPerRequest(nowNanos));
  }

  /** Returns the unweighted utilisation of a target by a given load alone. */
  double utilisationOf(TargetRecord target, double loadPerSecond) {
    OptionalDouble limit = coldLimitPerSecond(target);
    if (limit.isPresent()) {
      return loadPerSecond / Math.max(MIN_COLD_LIMIT_PER_SECOND, limit.getAsDouble());
    }
    return loadPerSecond * secondsPerRequest(target) / target.slots();
  }

  /** Returns the additional load with which a target reaches a weighted utilisation. */
  double headroomPerSecond(TargetRecord target, double desiredUtilisation) {
    OptionalDouble limit = coldLimitPerSecond(target);
    if (limit.isPresent()) {
      return Math.min(1, desiredUtilisation) * limit.getAsDouble() - requestsPerSecond(target.id());
    }
    double desiredPerSecond =
        desiredUtilisation / slownessWeight(target) * target.slots() / secondsPerRequest(target);
    return desiredPerSecond - requestsPerSecond(target.id());
  }

  double meanUtilisation() {
    if (meanUtilisation.isEmpty()) {
      meanUtilisation =
          OptionalDouble.of(
              receivers.values().stream().mapToDouble(this::utilisation).average().orElse(0));
    }
    return meanUtilisation.getAsDouble();
  }

  Collection<TargetRecord> receivers() {
    return receivers.values();
  }

  int rangeCount(TargetId target) {
    return table.rangesOf(target).size();
  }

  /** Returns whether a target owns the key before or after a range. */
  boolean ownsNeighbour(TargetId target, KeyRange range) {
    return table.rangesOf(target).stream()
        .map(OwnedRange::range)
        .anyMatch(r -> r.to() + 1 == range.from() || range.to() + 1 == r.from());
  }

  void addLoad(TargetId target, double morePerSecond) {
    requestsPerSecond.merge(target, morePerSecond, Double::sum);
    meanUtilisation = OptionalDouble.empty();
  }
}
