package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.ReservedSlots;
import io.coltsfootwheel.loadcontrol.DemandStatistics;
import io.coltsfootwheel.loadcontrol.SlotReserve;
import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Demand of requests by service and priority that an entry observes, and the slots that the leader
 * reserves for the more urgent ones. Confined to the relay's event loop.
 */
final class PriorityReserve {
  /** Age at which a decision of the leader expires, as load estimates do. */
  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final RoutingState routing;
  private final Map<Kind, Counts> counts = new HashMap<>();
  private final Map<ServiceName, DemandStatistics> ownDemand = new HashMap<>();
  private Map<ServiceName, SortedMap<Integer, Integer>> decided = Map.of();
  private OptionalLong decidedNanos = OptionalLong.empty();

  private record Kind(ServiceName service, int priority) {}

  private static final class Counts {
    private int requests;
    private int timedRequests;
    private long timedMillis;
  }

  PriorityReserve(RoutingState routing) {
    this.routing = routing;
  }

  /** Counts a request that arrived. */
  void recordRequest(ServiceName service, int priority) {
    countsOf(service, priority).requests++;
  }

  /** Adds the time of a response of a target that had a free slot when the request was sent. */
  void recordTime(ServiceName service, int priority, long millis) {
    Counts kind = countsOf(service, priority);
    kind.timedRequests++;
    kind.timedMillis += millis;
  }

  private Counts countsOf(ServiceName service, int priority) {
    return counts.computeIfAbsent(new Kind(service, priority), k -> new Counts());
  }

  /** Returns what was observed since the last call. */
  List<LoadReport.KindDemand> takeReport(long nowNanos) {
    List<LoadReport.KindDemand> report = new ArrayList<>();
    counts.forEach(
        (kind, c) -> {
          ownDemand
              .computeIfAbsent(kind.service(), s -> new DemandStatistics())
              .add(nowNanos, kind.priority(), c.requests, c.timedRequests, c.timedMillis);
          report.add(
              new LoadReport.KindDemand(
                  kind.service(), kind.priority(), c.requests, c.timedRequests, c.timedMillis));
        });
    counts.clear();
    return report;
  }

  /** Replaces the reserves by those that the leader has decided. */
  void update(long nowNanos, List<ReservedSlots> reserves) {
    Map<ServiceName, SortedMap<Integer, Integer>> byService = new HashMap<>();
    reserves.forEach(
        r ->
            byService
                .computeIfAbsent(r.service(), s -> new TreeMap<>())
                .put(r.priority(), r.slots()));
    decided = byService;
    decidedNanos = OptionalLong.of(nowNanos);
  }

  /**
   * Returns the slots that are reserved against requests of a priority. Without a decision of the
   * leader, the entry takes its own demand for that of each entry.
   */
  int slotsAgainst(ServiceName service, int priority, long nowNanos) {
    boolean isDecided =
        decidedNanos.isPresent() && nowNanos - decidedNanos.getAsLong() < EXPIRY_NANOS;
    SortedMap<Integer, Integer> reserved =
        isDecided ? decided.getOrDefault(service, new TreeMap<>()) : ownDecision(service, nowNanos);
    SortedMap<Integer, Integer> atLeastAsUrgent = reserved.headMap(priority + 1);
    return atLeastAsUrgent.isEmpty() ? 0 : atLeastAsUrgent.get(atLeastAsUrgent.lastKey());
  }

  private SortedMap<Integer, Integer> ownDecision(ServiceName service, long nowNanos) {
    DemandStatistics demand = ownDemand.get(service);
    if (demand == null) {
      return new TreeMap<>();
    }
    SortedMap<Integer, Double> slots = demand.slotsByPriority(nowNanos);
    slots.replaceAll((priority, own) -> own * routing.entryCount());
    int totalSlots = routing.targetsOf(service).stream().mapToInt(TargetStats::slots).sum();
    return SlotReserve.reservedAgainst(slots, totalSlots);
  }
}
