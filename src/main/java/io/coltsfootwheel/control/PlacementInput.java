package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Set;

/**
 * Facts from which {@link Placement} decides for one keyed service.
 *
 * @param table owners of the hash slots
 * @param candidates targets that are ACTIVE or DRAINING, in the order of their ids
 * @param unreleased owners that are LOST or GONE but whose hash slots may not be assigned yet
 */
record PlacementInput(SlotTable table, List<Candidate> candidates, Set<TargetId> unreleased) {
  /**
   * Target that may own hash slots.
   *
   * @param id the target
   * @param weight requests that it executes at the same time
   * @param active true when it takes new hash slots, false while it drains
   * @param healthy true when its dispatcher reports it healthy; only such targets receive or give
   */
  record Candidate(TargetId id, int weight, boolean active, boolean healthy) {}
}
