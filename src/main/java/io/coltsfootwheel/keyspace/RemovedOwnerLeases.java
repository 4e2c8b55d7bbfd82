package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.List;

/**
 * Leases of targets that were removed before the leases ended.
 *
 * <p>A target is removed early when a later process reports the same address. Its keys get no new
 * owner before its lease ends: the report may come from a process that does not run there, and a
 * call that was sent to the removed target may have reached the new process.
 */
final class RemovedOwnerLeases {
  private final KeyedServices keyedServices;
  private final List<Lease> leases = new ArrayList<>();

  private record Lease(ServiceName service, KeyRange range, long endNanos) {
    boolean covers(ServiceName otherService, KeyRange other) {
      return service.equals(otherService) && range.overlaps(other);
    }
  }

  RemovedOwnerLeases(KeyedServices keyedServices) {
    this.keyedServices = keyedServices;
  }

  /**
   * Records that the earlier leader may have granted the keys that have no owner at the start of a
   * term, because it may have removed their owner just before.
   */
  void recordStart(FleetState state, long nowNanos, OwnershipSettings settings) {
    for (ServiceName service : keyedServices.names()) {
      long leaseEndNanos = nowNanos + settings.leaseNanos(keyedServices.grantMethod(service));
      if (state.tables().containsKey(service)) {
        state
            .table(service)
            .gaps()
            .forEach(gap -> leases.add(new Lease(service, gap, leaseEndNanos)));
      }
    }
  }

  /** Records the leases of the targets that a command has removed. */
  void recordRemoved(FleetState before, FleetState after, HeartbeatMonitor heartbeats) {
    for (TargetRecord target : before.targets()) {
      if (after.target(target.id()).isEmpty()) {
        heartbeats.find(target.id()).ifPresent(h -> record(target, h, before));
      }
    }
  }

  private void record(TargetRecord target, TargetHeartbeat heartbeat, FleetState before) {
    for (OwnedRange owned : before.table(target.service()).rangesOf(target.id())) {
      long endNanos = heartbeat.leaseEndNanos(owned.range());
      leases.add(new Lease(target.service(), owned.range(), endNanos));
    }
  }

  /** Returns the ranges that contain no key under a recorded lease. */
  List<KeyRange> withoutLeased(long nowNanos, ServiceName service, List<KeyRange> ranges) {
    leases.removeIf(l -> nowNanos - l.endNanos() > 0);
    return ranges.stream()
        .filter(r -> leases.stream().noneMatch(l -> l.covers(service, r)))
        .toList();
  }
}
