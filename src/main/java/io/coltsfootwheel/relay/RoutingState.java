package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.model.AvailabilityZone;
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
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Routes, targets and key ownership known to an entry; confined to the relay's event loop. */
final class RoutingState {
  /** Age of the load estimates from which they lose weight: three missed answers of the leader. */
  private static final long FRESH_ESTIMATE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Age at which load estimates have no weight; requests in flight then are answered by now. */
  private static final long EXPIRED_ESTIMATE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final Map<TargetId, TargetStats> targets = new HashMap<>();
  private Map<ServiceName, List<TargetStats>> targetsByService = Map.of();
  private Map<ServiceName, TreeMap<Integer, OwnershipView.Range>> rangesByService = Map.of();
  private RouteTable routes = RouteTable.empty();
  private Set<TargetId> unusableTargets = Set.of();

  /** Replaced as a whole; metrics read it on other threads. */
  private volatile Set<AvailabilityZone> evacuatedZones = Set.of();

  /** Cold targets of the last view; read by metrics on other threads. */
  private volatile int coldTargetCount;

  private final LimitMode limitMode;
  private boolean hasOwnership;
  private int entryCount = 1;
  private OptionalLong estimatesConfirmedNanos = OptionalLong.empty();

  /** Creates a state that enforces the concurrency limits of targets. */
  RoutingState() {
    this(LimitMode.ENFORCE);
  }

  RoutingState(LimitMode limitMode) {
    this.limitMode = limitMode;
  }

  void updateConfiguration(Configuration configuration) {
    routes = RouteTable.of(configuration);
    targets.values().forEach(this::updateWarmupLimit);
  }

  private void updateWarmupLimit(TargetStats target) {
    routes
        .service(target.spec().service())
        .ifPresent(service -> target.setWarmupLimited(service.warmup().isPresent()));
  }

  /**
   * Replaces the targets and ranges by those of a view.
   *
   * @param view the view
   * @param changeNanos earliest time at which a target can have begun to leave, or its zone to be
   *     evacuated, that the view shows so for the first time
   * @return the targets that the view removed
   */
  List<TargetId> updateOwnership(OwnershipView view, long changeNanos) {
    boolean isFirstView = !hasOwnership;
    hasOwnership = true;
    Map<ServiceName, List<TargetStats>> byService = new HashMap<>();
    List<TargetId> removed = new ArrayList<>(targets.keySet());
    Set<TargetId> unusable = new TreeSet<>();
    Set<AvailabilityZone> evacuated = new TreeSet<>();
    for (OwnershipView.Target target : view.targets()) {
      if (!target.address().isNumeric()) {
        unusable.add(target.id());
        continue;
      }
      if (target.evacuated()) {
        evacuated.add(target.zone());
      }
      removed.remove(target.id());
      boolean isJoining = !isFirstView && !targets.containsKey(target.id());
      TargetStats stats = targets.computeIfAbsent(target.id(), id -> newStats(target, changeNanos));
      updateWarmupLimit(stats);
      stats.updateSpec(target, changeNanos);
      if (isJoining) {
        stats.recordJoined(changeNanos);
      }
      byService.computeIfAbsent(target.service(), s -> new ArrayList<>()).add(stats);
    }
    unusableTargets = unusable;
    evacuatedZones = evacuated;
    coldTargetCount =
        (int) byService.values().stream().flatMap(List::stream).filter(TargetStats::isCold).count();
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

  /** Until its first estimate arrives, a new target counts as one of the others of its service. */
  private TargetStats newStats(OwnershipView.Target target, long changeNanos) {
    TargetStats stats = new TargetStats(target, changeNanos, limitMode);
    stats.updateEntryCount(entryCount);
    targetsOf(target.service()).stream()
        .mapToInt(TargetStats::millisPerRequest)
        .average()
        .ifPresent(
            millis ->
                stats.updateLoadEstimate(new TargetLoadEstimate(0, (int) Math.round(millis))));
    return stats;
  }

  /** Updates the estimates that changed; the leader confirms all others by its message. */
  void updateLoadEstimates(
      long nowNanos, Map<TargetId, TargetLoadEstimate> loadEstimates, int newEntryCount) {
    estimatesConfirmedNanos = OptionalLong.of(nowNanos);
    entryCount = Math.max(1, newEntryCount);
    targets.values().forEach(t -> t.updateEntryCount(entryCount));
    loadEstimates.forEach(
        (id, loadEstimate) -> {
          TargetStats stats = targets.get(id);
          if (stats != null) {
            stats.updateLoadEstimate(loadEstimate);
          }
        });
  }

  /** Returns the evacuated zones that have targets. */
  Set<AvailabilityZone> evacuatedZones() {
    return evacuatedZones;
  }

  /** Returns the targets whose address is no IP address; no request is sent to them. */
  Set<TargetId> unusableTargets() {
    return unusableTargets;
  }

  /**
   * Returns the weight of the other entries' requests in flight according to the load estimates: 1
   * while the leader responds, and less with the age of the estimates when it does not.
   */
  double loadEstimateWeight(long nowNanos) {
    if (estimatesConfirmedNanos.isEmpty()) {
      return 0;
    }
    long ageNanos = nowNanos - estimatesConfirmedNanos.getAsLong();
    double weight =
        (double) (EXPIRED_ESTIMATE_NANOS - ageNanos)
            / (EXPIRED_ESTIMATE_NANOS - FRESH_ESTIMATE_NANOS);
    return Math.max(0, Math.min(1, weight));
  }

  RouteTable routes() {
    return routes;
  }

  /**
   * Returns the version by which a request is handled: that of its head, or the newest one if there
   * was none then.
   */
  RouteTable routesOf(RelayRequest request) {
    return request.routes().version() > 0 ? request.routes() : routes;
  }

  /** Returns the connections that this entry may keep to a target, empty for an unknown one. */
  OptionalInt maxConnections(TargetId id) {
    return target(id)
        .flatMap(t -> routes.service(t.spec().service()))
        .map(s -> OptionalInt.of(ConnectionShare.of(s.maxConnections(), entryCount)))
        .orElseGet(OptionalInt::empty);
  }

  boolean isComplete() {
    return hasOwnership && routes.version() > 0;
  }

  int coldTargetCount() {
    return coldTargetCount;
  }

  int entryCount() {
    return entryCount;
  }

  /** Returns the number of targets that get less than the initial limit. */
  long limitedTargetCount() {
    long nowNanos = System.nanoTime();
    return targets.values().stream().filter(t -> t.isLimited(nowNanos)).count();
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
