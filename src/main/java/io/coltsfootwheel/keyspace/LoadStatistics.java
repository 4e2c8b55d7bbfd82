package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.DemandStatistics;
import io.coltsfootwheel.loadcontrol.RefusalCriterion;
import io.coltsfootwheel.loadcontrol.SlotReserve;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/** Load of keys and targets, aggregated by the leader from the reports of the entries. */
final class LoadStatistics {
  /** Time per request of each service, over all its targets. */
  private final Map<ServiceName, UsualServiceTime> usualTimes = new HashMap<>();

  /** Refusals of each service, over all its targets. */
  private final Map<ServiceName, RefusalCriterion> refusalCriteria = new HashMap<>();

  private final Map<ServiceName, KeyLoad> keyLoads = new HashMap<>();
  private final Map<TargetId, TargetLoad> targetLoads = new HashMap<>();
  private final Map<ServiceName, DemandStatistics> demands = new HashMap<>();

  void add(long nowNanos, InstanceId entry, LoadReport report, FleetState state) {
    report.requestsByKey().forEach((service, keys) -> keyLoad(service).add(nowNanos, keys));
    for (LoadReport.TargetObservation o : report.targets()) {
      state
          .target(o.target())
          .ifPresent(
              t -> {
                TargetLoad load = targetLoad(t.id());
                load.startIncarnation(t.incarnationMillis());
                load.add(nowNanos, entry, t.slots(), o, isLoadRelated(nowNanos, t.service(), o));
              });
    }
    for (LoadReport.KindDemand d : report.demand()) {
      demands
          .computeIfAbsent(d.service(), s -> new DemandStatistics())
          .add(nowNanos, d.priority(), d.requests(), d.timedRequests(), d.timedMillis());
    }
  }

  /** Adds the refusals of one target, and returns whether those of its service depend on load. */
  private boolean isLoadRelated(
      long nowNanos, ServiceName service, LoadReport.TargetObservation observation) {
    RefusalCriterion criterion =
        refusalCriteria.computeIfAbsent(service, s -> new RefusalCriterion());
    criterion.add(nowNanos, observation.refusals().valid());
    return criterion.isLoadRelated();
  }

  /**
   * Returns the estimates of all targets. The time per request of a target about which little is
   * known is that of the other targets of its service.
   */
  Map<TargetId, TargetLoadEstimate> estimates(long nowNanos, FleetState state) {
    Map<ServiceName, Double> busySlotSeconds = new HashMap<>();
    Map<ServiceName, Double> completed = new HashMap<>();
    for (TargetRecord target : state.targets()) {
      TargetLoad load = targetLoad(target.id());
      busySlotSeconds.merge(target.service(), load.busySlotSeconds(nowNanos), Double::sum);
      completed.merge(target.service(), load.completed(nowNanos), Double::sum);
    }
    usualTimes.keySet().retainAll(completed.keySet());
    refusalCriteria.keySet().retainAll(completed.keySet());
    Map<ServiceName, Double> usualSeconds = new HashMap<>();
    busySlotSeconds.forEach(
        (service, busy) ->
            usualSeconds.put(
                service,
                usualTimes
                    .computeIfAbsent(service, s -> new UsualServiceTime())
                    .update(nowNanos, busy, completed.get(service))));
    Map<TargetId, TargetLoadEstimate> estimates = new HashMap<>();
    for (TargetRecord target : state.targets()) {
      TargetLoad load = targetLoad(target.id());
      load.updateUsualTime(usualSeconds.get(target.service()));
      estimates.put(target.id(), load.estimate(nowNanos, target.slots()));
    }
    return estimates;
  }

  void evictIdle(long nowNanos, FleetState state) {
    keyLoads.values().forEach(k -> k.evictIdle(nowNanos));
    targetLoads.keySet().removeIf(id -> state.target(id).isEmpty());
    demands.values().removeIf(d -> d.slotsByPriority(nowNanos).isEmpty());
  }

  /** Returns the slots of each service that are reserved against its less urgent requests. */
  List<ReservedSlots> reservedSlots(long nowNanos, FleetState state) {
    List<ReservedSlots> reserved = new ArrayList<>();
    demands.forEach(
        (service, statistics) -> {
          SortedMap<Integer, Double> demand = statistics.slotsByPriority(nowNanos);
          if (demand.size() > 1) {
            SlotReserve.reservedAgainst(demand, slots(service, state))
                .forEach((p, slots) -> reserved.add(new ReservedSlots(service, p, slots)));
          }
        });
    return reserved;
  }

  private static int slots(ServiceName service, FleetState state) {
    return state.targets().stream()
        .filter(t -> t.service().equals(service) && t.phase() == TargetPhase.READY)
        .filter(t -> !state.isEvacuated(t))
        .mapToInt(TargetRecord::slots)
        .sum();
  }

  KeyLoad keyLoad(ServiceName service) {
    return keyLoads.computeIfAbsent(service, s -> new KeyLoad());
  }

  TargetLoad targetLoad(TargetId target) {
    return targetLoads.computeIfAbsent(target, t -> new TargetLoad());
  }
}
