package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;

/** Load of keys and targets as the entries report it to the leader. */
final class LoadBook {
  private final Map<ServiceName, KeyLoad> keyLoads = new HashMap<>();
  private final Map<TargetId, TargetLoad> targetLoads = new HashMap<>();

  void add(long nowNanos, InstanceId entry, LoadReport report, FleetState state) {
    report.requestsByKey().forEach((service, keys) -> keys(service).add(nowNanos, keys));
    for (LoadReport.TargetObservation o : report.targets()) {
      state
          .target(o.target())
          .ifPresent(
              t -> target(t.id()).add(nowNanos, entry, t.slots(), o.inFlight(), o.completed()));
    }
  }

  void forgetIdle(long nowNanos, FleetState state) {
    keyLoads.values().forEach(k -> k.forgetIdle(nowNanos));
    targetLoads.keySet().removeIf(id -> state.target(id).isEmpty());
  }

  KeyLoad keys(ServiceName service) {
    return keyLoads.computeIfAbsent(service, s -> new KeyLoad());
  }

  TargetLoad target(TargetId target) {
    return targetLoads.computeIfAbsent(target, t -> new TargetLoad());
  }

  /** Returns the slots that a rate of requests occupies at a target, relative to all its slots. */
  double utilisation(long nowNanos, TargetRecord target, double perSecond) {
    return perSecond * target(target.id()).secondsPerRequest(nowNanos) / target.slots();
  }

  double perSecondAtUtilisation(long nowNanos, TargetRecord target, double utilisation) {
    return utilisation * target.slots() / target(target.id()).secondsPerRequest(nowNanos);
  }
}
