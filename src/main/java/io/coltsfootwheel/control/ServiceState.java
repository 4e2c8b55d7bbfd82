package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;

/**
 * Service with its targets and the owners of its hash slots.
 *
 * @param spec the service
 * @param targets its targets, the same entries as in {@link StateContent#targets}
 * @param slots owners of its hash slots; empty for an unkeyed service
 */
record ServiceState(
    ServiceSpec spec, SortedTable<TargetId, TargetEntry> targets, SlotOwnershipTable slots) {
  ServiceState with(SlotOwnershipTable changedSlots) {
    return new ServiceState(spec, targets, changedSlots);
  }

  ServiceState with(TargetEntry entry) {
    return new ServiceState(spec, targets.with(entry.spec().id(), entry), slots);
  }
}
