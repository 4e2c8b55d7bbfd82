package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Set;

/**
 * Facts from which {@link SlotPlacement} and {@link LoadPlacement} decide for one keyed service.
 *
 * @param table owners of the hash slots
 * @param candidates targets that are ACTIVE or DRAINING, in the order of their ids
 * @param possiblyServing owners that are GONE but may still execute requests, because leases or
 *     grants have not run out; their hash slots are not assigned yet
 */
record PlacementInput(
    SlotOwnershipTable table, List<Candidate> candidates, Set<TargetId> possiblyServing) {
  /**
   * Target that may own hash slots.
   *
   * @param id the target
   * @param weight requests that it executes at the same time
   * @param active true when it is ACTIVE and may receive hash slots, false while it drains
   * @param healthy true when its dispatcher reports it as healthy; other targets neither give nor
   *     receive hash slots
   */
  record Candidate(TargetId id, int weight, boolean active, boolean healthy) {}
}
