package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.RouteTable;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Routes, targets and owners of keys as one entry knows them; used on the relay thread alone. */
final class FleetRouting {
  private final Map<TargetId, TargetStats> targets = new HashMap<>();
  private Map<ServiceName, List<TargetStats>> targetsByService = Map.of();
  private Map<ServiceName, TreeMap<Integer, OwnershipView.Range>> rangesByService = Map.of();
  private RouteTable routes = RouteTable.empty();
  private boolean hasView;
  private int entries = 1;

  void update(Configuration configuration) {
    routes = RouteTable.of(configuration);
  }

  /** Takes a view and returns the targets that are no longer in it. */
  List<TargetId> update(OwnershipView view, long nowNanos) {
    hasView = true;
    Map<ServiceName, List<TargetStats>> byService = new HashMap<>();
    List<TargetId> gone = new ArrayList<>(targets.keySet());
    for (OwnershipView.Target target : view.targets()) {
      gone.remove(target.id());
      TargetStats stats =
          targets.computeIfAbsent(target.id(), id -> new TargetStats(target, nowNanos));
      stats.update(target, nowNanos);
      byService.computeIfAbsent(target.service(), s -> new ArrayList<>()).add(stats);
    }
    targets.keySet().removeAll(gone);
    Map<ServiceName, TreeMap<Integer, OwnershipView.Range>> ranges = new HashMap<>();
    for (OwnershipView.Range range : view.ranges()) {
      ranges
          .computeIfAbsent(range.service(), s -> new TreeMap<>())
          .put(range.range().from(), range);
    }
    targetsByService = byService;
    rangesByService = ranges;
    return gone;
  }

  void update(Map<TargetId, TargetLoadEstimate> pressure, int newEntries) {
    entries = Math.max(1, newEntries);
    pressure.forEach(
        (id, p) -> {
          TargetStats stats = targets.get(id);
          if (stats != null) {
            stats.update(p);
          }
        });
  }

  RouteTable routes() {
    return routes;
  }

  boolean isComplete() {
    return hasView && routes.version() > 0;
  }

  int entries() {
    return entries;
  }

  Collection<TargetStats> targets() {
    return targets.values();
  }

  Optional<TargetStats> target(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  List<TargetStats> targetsOf(ServiceName service) {
    return targetsByService.getOrDefault(service, List.of());
  }

  Optional<OwnershipView.Range> rangeOf(ServiceName service, int key) {
    TreeMap<Integer, OwnershipView.Range> ranges = rangesByService.get(service);
    Map.Entry<Integer, OwnershipView.Range> entry = ranges == null ? null : ranges.floorEntry(key);
    return Optional.ofNullable(entry).map(Map.Entry::getValue).filter(r -> r.range().contains(key));
  }
}
