package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;

/** Load of keys and targets, aggregated by the leader from the reports of the entries. */
final class LoadStatistics {
  private final Map<ServiceName, KeyLoad> keyLoads = new HashMap<>();
  private final Map<TargetId, TargetLoad> targetLoads = new HashMap<>();

  void add(long nowNanos, InstanceId entry, LoadReport report, FleetState state) {
    report.requestsByKey().forEach((service, keys) -> keyLoad(service).add(nowNanos, keys));
    for (LoadReport.TargetObservation o : report.targets()) {
      state
          .target(o.target())
          .ifPresent(
              t -> targetLoad(t.id()).add(nowNanos, entry, t.slots(), o.inFlight(), o.completed()));
    }
  }

  void evictIdle(long nowNanos, FleetState state) {
    keyLoads.values().forEach(k -> k.evictIdle(nowNanos));
    targetLoads.keySet().removeIf(id -> state.target(id).isEmpty());
  }

  KeyLoad keyLoad(ServiceName service) {
    return keyLoads.computeIfAbsent(service, s -> new KeyLoad());
  }

  TargetLoad targetLoad(TargetId target) {
    return targetLoads.computeIfAbsent(target, t -> new TargetLoad());
  }
}
