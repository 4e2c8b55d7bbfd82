package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Targets and owners of keys, as the leader sends them to entries.
 *
 * @param targets registered targets
 * @param ranges ranges of all keyed services, ordered by service and key
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
   * @param removedTargets targets that are no longer registered
   * @param ranges ranges that are new or changed
   * @param removedRanges ranges whose first key is no longer the first key of any range
   */
  public record Change(
      List<Target> targets,
      List<TargetId> removedTargets,
      List<Range> ranges,
      List<RangeKey> removedRanges) {
    /** Copies the lists. */
    public Change {
      targets = List.copyOf(targets);
      removedTargets = List.copyOf(removedTargets);
      ranges = List.copyOf(ranges);
      removedRanges = List.copyOf(removedRanges);
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
   * Returns the difference to an earlier view. Most differences concern a few of thousands of
   * ranges, so they are much smaller than the view.
   *
   * @param earlier the earlier view
   * @return the difference
   */
  public Change changesSince(OwnershipView earlier) {
    Map<TargetId, Target> targetsBefore = targetsById(earlier);
    Map<TargetId, Target> targetsNow = targetsById(this);
    Map<RangeKey, Range> rangesBefore = rangesByKey(earlier);
    Map<RangeKey, Range> rangesNow = rangesByKey(this);
    return new Change(
        targets.stream().filter(t -> !t.equals(targetsBefore.get(t.id()))).toList(),
        targetsBefore.keySet().stream().filter(id -> !targetsNow.containsKey(id)).toList(),
        ranges.stream().filter(r -> !r.equals(rangesBefore.get(r.key()))).toList(),
        rangesBefore.keySet().stream().filter(k -> !rangesNow.containsKey(k)).toList());
  }

  /**
   * Applies a difference to this view.
   *
   * @param change difference between this view and a later one
   * @return the later view
   */
  public OwnershipView with(Change change) {
    Map<TargetId, Target> nextTargets = targetsById(this);
    change.removedTargets().forEach(nextTargets::remove);
    change.targets().forEach(t -> nextTargets.put(t.id(), t));
    Map<RangeKey, Range> nextRanges = rangesByKey(this);
    change.removedRanges().forEach(nextRanges::remove);
    change.ranges().forEach(r -> nextRanges.put(r.key(), r));
    return new OwnershipView(List.copyOf(nextTargets.values()), List.copyOf(nextRanges.values()));
  }

  private static Map<TargetId, Target> targetsById(OwnershipView view) {
    Map<TargetId, Target> map = new LinkedHashMap<>();
    view.targets().forEach(t -> map.put(t.id(), t));
    return map;
  }

  private static Map<RangeKey, Range> rangesByKey(OwnershipView view) {
    Map<RangeKey, Range> map = new LinkedHashMap<>();
    view.ranges().forEach(r -> map.put(r.key(), r));
    return map;
  }

  /**
   * Target, with the properties that entries need.
   *
   * @param id name of the target
   * @param service service that it offers
   * @param address address of its HTTP server
   * @param zone availability zone that it runs in
   * @param slots requests that it executes at the same time
   * @param phase phase that it reported last
   * @param incarnationMillis start of its process, in milliseconds since the epoch
   * @param evacuated whether its availability zone is being evacuated
   * @param warmup whether it is warming up; {@link WarmupState#UNKNOWN} when the leader is of an
   *     earlier version
   */
  public record Target(
      TargetId id,
      ServiceName service,
      Address address,
      AvailabilityZone zone,
      int slots,
      TargetPhase phase,
      long incarnationMillis,
      boolean evacuated,
      WarmupState warmup) {
    /** Replaces a missing warm-up state. */
    public Target {
      warmup = warmup == null ? WarmupState.UNKNOWN : warmup;
    }

    /**
     * Creates a target that is neither evacuated nor known to warm up.
     *
     * @param id name of the target
     * @param service service that it offers
     * @param address address of its HTTP server
     * @param zone availability zone that it runs in
     * @param slots requests that it executes at the same time
     * @param phase phase that it reported last
     * @param incarnationMillis start of its process, in milliseconds since the epoch
     */
    public Target(
        TargetId id,
        ServiceName service,
        Address address,
        AvailabilityZone zone,
        int slots,
        TargetPhase phase,
        long incarnationMillis) {
      this(id, service, address, zone, slots, phase, incarnationMillis, false, WarmupState.UNKNOWN);
    }
  }

  /**
   * Range, with the properties that entries need.
   *
   * @param service the service
   * @param range the keys
   * @param owner the owner
   * @param granted true while the owner holds the keys; otherwise requests wait or are rejected
   * @param readyInMillis time until an owner is expected to hold the keys, 0 while it does
   */
  public record Range(
      ServiceName service, KeyRange range, TargetId owner, boolean granted, int readyInMillis) {
    RangeKey key() {
      return new RangeKey(service, range.from());
    }
  }
}
