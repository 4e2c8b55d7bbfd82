package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Target with the facts about it that only the state machine uses.
 *
 * @param entry what readers of the control state see
 * @param changedIndex log index of the last change of incarnation, status or dispatch grant
 * @param drainRequested true when this incarnation was asked to drain; a LOST target that answers
 *     again then continues to drain
 * @param supersededIncarnations up to 8 most recent earlier incarnations, latest first; their
 *     announcements are rejected, so that a process that was suspended and resumes after its
 *     replacement started does not take the place of the replacement
 */
record TargetState(
    TargetEntry entry,
    long changedIndex,
    boolean drainRequested,
    List<String> supersededIncarnations) {
  private static final int MAX_SUPERSEDED_INCARNATIONS = 8;

  static TargetState of(TargetSpec spec, long index) {
    return new TargetState(
        new TargetEntry(spec, TargetStatus.ACTIVE, Optional.empty()), index, false, List.of());
  }

  TargetSpec spec() {
    return entry.spec();
  }

  TargetStatus status() {
    return entry.status();
  }

  TargetState withIncarnation(TargetSpec spec, long index) {
    List<String> superseded =
        Stream.concat(Stream.of(spec().incarnation()), supersededIncarnations.stream())
            .limit(MAX_SUPERSEDED_INCARNATIONS)
            .toList();
    TargetEntry changedEntry = new TargetEntry(spec, TargetStatus.ACTIVE, entry.grant());
    return new TargetState(changedEntry, index, false, superseded);
  }

  TargetState withSpec(TargetSpec spec) {
    TargetEntry changedEntry = new TargetEntry(spec, status(), entry.grant());
    return new TargetState(changedEntry, changedIndex, drainRequested, supersededIncarnations);
  }

  TargetState withStatus(TargetStatus status, long index) {
    Optional<DispatchGrant> grant = status == TargetStatus.GONE ? Optional.empty() : entry.grant();
    boolean newDrainRequested = drainRequested || status == TargetStatus.DRAINING;
    return new TargetState(
        new TargetEntry(spec(), status, grant), index, newDrainRequested, supersededIncarnations);
  }

  /** Returns the LOST target as ACTIVE again, or as DRAINING if it was asked to drain. */
  TargetState recovered(long index) {
    return withStatus(drainRequested ? TargetStatus.DRAINING : TargetStatus.ACTIVE, index);
  }

  TargetState withGrant(Optional<DispatchGrant> grant, long index) {
    TargetEntry changedEntry = new TargetEntry(spec(), status(), grant);
    return new TargetState(changedEntry, index, drainRequested, supersededIncarnations);
  }
}
