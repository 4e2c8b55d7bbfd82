package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.List;

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
      ServiceName service, KeyRange range, TargetId owner, boolean granted, int readyInMillis) {}
}
