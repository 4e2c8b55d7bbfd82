package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects what an entry reports to the leader; confined to the relay's event loop. */
final class LoadReporter {
  private final RoutingState routing;
  private final PriorityReserve priorityReserve;
  private final PermitDemand permitDemand = new PermitDemand();
  private final Map<ServiceName, Map<Integer, Integer>> requestCountsByKey = new HashMap<>();

  LoadReporter(RoutingState routing, PriorityReserve priorityReserve) {
    this.routing = routing;
    this.priorityReserve = priorityReserve;
  }

  PermitDemand permitDemand() {
    return permitDemand;
  }

  /** Counts a request for a key. */
  void countKey(ServiceName service, int key) {
    requestCountsByKey.computeIfAbsent(service, s -> new HashMap<>()).merge(key, 1, Integer::sum);
  }

  /** Returns what was observed since the last call, and resets the counts. */
  LoadReport takeReport(long nowNanos) {
    Map<ServiceName, Map<Integer, Integer>> requestCounts = new HashMap<>(requestCountsByKey);
    requestCountsByKey.clear();
    List<LoadReport.TargetObservation> observations = new ArrayList<>();
    for (TargetStats target : routing.targets()) {
      if (target.needsReport()) {
        observations.add(target.takeObservation());
      }
    }
    return new LoadReport(
        requestCounts,
        observations,
        priorityReserve.takeReport(nowNanos),
        permitDemand.take(nowNanos, routing));
  }
}
