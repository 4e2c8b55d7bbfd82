package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.List;

/**
 * Leases granted by calls to targets that were removed before the leases ended.
 *
 * <p>A target is removed early when another one reports the same address, because its process must
 * have ended. A call that was sent to it may have reached the new process, which then holds the
 * keys until the lease ends.
 */
final class RemovedOwnerLeases {
  private final List<Lease> leases = new ArrayList<>();

  private record Lease(ServiceName service, KeyRange range, long endNanos) {
    boolean covers(ServiceName otherService, KeyRange other) {
      return service.equals(otherService) && range.overlaps(other);
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
      if (heartbeat.callLeases().wasSent(owned.range())) {
        long endNanos = heartbeat.leaseEndNanos(owned.range());
        leases.add(new Lease(target.service(), owned.range(), endNanos));
      }
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
