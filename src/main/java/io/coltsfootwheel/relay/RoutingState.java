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
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Routes, targets and key ownership known to an entry; confined to the relay's event loop. */
final class RoutingState {
  private final Map<TargetId, TargetStats> targets = new HashMap<>();
  private Map<ServiceName, List<TargetStats>> targetsByService = Map.of();
  private Map<ServiceName, TreeMap<Integer, OwnershipView.Range>> rangesByService = Map.of();
  private RouteTable routes = RouteTable.empty();
  private Set<TargetId> unusableTargets = Set.of();
  private boolean hasOwnership;
  private int entryCount = 1;

  void updateConfiguration(Configuration configuration) {
    routes = RouteTable.of(configuration);
  }

  /** Replaces the targets and ranges by those of a view; returns the targets that it removed. */
  List<TargetId> updateOwnership(OwnershipView view, long nowNanos) {
    hasOwnership = true;
    Map<ServiceName, List<TargetStats>> byService = new HashMap<>();
    List<TargetId> removed = new ArrayList<>(targets.keySet());
    Set<TargetId> unusable = new TreeSet<>();
    for (OwnershipView.Target target : view.targets()) {
      if (!target.address().isNumeric()) {
        unusable.add(target.id());
        continue;
      }
      removed.remove(target.id());
      TargetStats stats =
          targets.computeIfAbsent(target.id(), id -> new TargetStats(target, nowNanos));
      stats.updateSpec(target, nowNanos);
      byService.computeIfAbsent(target.service(), s -> new ArrayList<>()).add(stats);
    }
    unusableTargets = unusable;
    targets.keySet().removeAll(removed);
    Map<ServiceName, TreeMap<Integer, OwnershipView.Range>> ranges = new HashMap<>();
    for (OwnershipView.Range range : view.ranges()) {
      ranges
          .computeIfAbsent(range.service(), s -> new TreeMap<>())
          .put(range.range().from(), range);
    }
    targetsByService = byService;
    rangesByService = ranges;
    return removed;
  }

  void updateLoadEstimates(Map<TargetId, TargetLoadEstimate> loadEstimates, int newEntryCount) {
    entryCount = Math.max(1, newEntryCount);
    loadEstimates.forEach(
        (id, loadEstimate) -> {
          TargetStats stats = targets.get(id);
          if (stats != null) {
            stats.updateLoadEstimate(loadEstimate);
          }
        });
  }

  /** Returns the targets whose address is no IP address; no request is sent to them. */
  Set<TargetId> unusableTargets() {
    return unusableTargets;
  }

  RouteTable routes() {
    return routes;
  }

  boolean isComplete() {
    return hasOwnership && routes.version() > 0;
  }

  int entryCount() {
    return entryCount;
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
