package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;

/**
 * Service with its targets and slot table.
 *
 * @param spec the service
 * @param targets its targets, the same entries as in the table of all targets
 * @param slots owners of its hash slots; empty for an unkeyed service
 */
record ServiceState(ServiceSpec spec, SortedTable<TargetId, TargetEntry> targets, SlotTable slots) {
  ServiceState with(SlotTable changed) {
    return new ServiceState(spec, targets, changed);
  }

  ServiceState with(TargetEntry entry) {
    return new ServiceState(spec, targets.with(entry.spec().id(), entry), slots);
  }
}
