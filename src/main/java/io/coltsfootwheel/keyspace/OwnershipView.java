package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Targets and owners of keys as the leader tells them to entries.
 *
 * @param targets registered targets
 * @param ranges ranges of all keyed services in the order of service and keys
 */
public record OwnershipView(List<Target> targets, List<Range> ranges) {
  /** Copies the lists. */
  public OwnershipView {
    targets = List.copyOf(targets);
    ranges = List.copyOf(ranges);
  }

  /**
   * Returns a view without targets.
   *
   * @return the view
   */
  public static OwnershipView empty() {
    return new OwnershipView(List.of(), List.of());
  }

  /**
   * Difference between two views.
   *
   * @param targets targets that are new or changed
   * @param goneTargets targets that are no longer registered
   * @param ranges ranges that are new or changed
   * @param goneRanges ranges that no longer begin at their key
   */
  public record Change(
      List<Target> targets,
      List<TargetId> goneTargets,
      List<Range> ranges,
      List<RangeKey> goneRanges) {
    /** Copies the lists. */
    public Change {
      targets = List.copyOf(targets);
      goneTargets = List.copyOf(goneTargets);
      ranges = List.copyOf(ranges);
      goneRanges = List.copyOf(goneRanges);
    }
  }

  /**
   * Identifies a range of a view.
   *
   * @param service the service
   * @param from first key
   */
  public record RangeKey(ServiceName service, int from) {}

  /**
   * Returns what has changed; most changes concern a few ranges of a view of thousands.
   *
   * @param older the earlier view
   * @return the difference
   */
  public Change changesSince(OwnershipView older) {
    Map<TargetId, Target> targetsBefore = byId(older);
    Map<TargetId, Target> targetsNow = byId(this);
    Map<RangeKey, Range> rangesBefore = byKey(older);
    Map<RangeKey, Range> rangesNow = byKey(this);
    return new Change(
        targets.stream().filter(t -> !t.equals(targetsBefore.get(t.id()))).toList(),
        targetsBefore.keySet().stream().filter(id -> !targetsNow.containsKey(id)).toList(),
        ranges.stream().filter(r -> !r.equals(rangesBefore.get(r.key()))).toList(),
        rangesBefore.keySet().stream().filter(k -> !rangesNow.containsKey(k)).toList());
  }

  /**
   * Returns the view after a change.
   *
   * @param change difference to a later view
   * @return the later view
   */
  public OwnershipView with(Change change) {
    Map<TargetId, Target> nextTargets = byId(this);
    change.goneTargets().forEach(nextTargets::remove);
    change.targets().forEach(t -> nextTargets.put(t.id(), t));
    Map<RangeKey, Range> nextRanges = byKey(this);
    change.goneRanges().forEach(nextRanges::remove);
    change.ranges().forEach(r -> nextRanges.put(r.key(), r));
    return new OwnershipView(List.copyOf(nextTargets.values()), List.copyOf(nextRanges.values()));
  }

  private static Map<TargetId, Target> byId(OwnershipView view) {
    Map<TargetId, Target> map = new LinkedHashMap<>();
    view.targets().forEach(t -> map.put(t.id(), t));
    return map;
  }

  private static Map<RangeKey, Range> byKey(OwnershipView view) {
    Map<RangeKey, Range> map = new LinkedHashMap<>();
    view.ranges().forEach(r -> map.put(r.key(), r));
    return map;
  }

  /**
   * Target as an entry sees it.
   *
   * @param id name of the target
   * @param service service that it offers
   * @param address address of its HTTP server
   * @param zone availability zone that it runs in
   * @param slots requests that it executes at the same time
   * @param phase what it last said about its life
   */
  public record Target(
      TargetId id,
      ServiceName service,
      Address address,
      AvailabilityZone zone,
      int slots,
      TargetPhase phase) {}

  /**
   * Range as an entry sees it.
   *
   * @param service the service
   * @param range the keys
   * @param owner the owner
   * @param granted true while the owner holds the keys; otherwise requests wait or are refused
   * @param readyInMillis time until the owner is expected to hold the keys, 0 while it does
   */
  public record Range(
      ServiceName service, KeyRange range, TargetId owner, boolean granted, int readyInMillis) {
    RangeKey key() {
      return new RangeKey(service, range.from());
    }
  }
}
