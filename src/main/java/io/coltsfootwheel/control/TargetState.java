package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Target with the facts that only the state machine needs.
 *
 * @param entry what readers see
 * @param changedIndex log index of the last change of incarnation, status or grant
 * @param drainAsked true when this incarnation was asked to go; a LOST target that answers again
 *     continues to drain
 * @param superseded earlier incarnations, latest first; a frozen process that wakes after its
 *     replacement started must not take its place again
 */
record TargetState(
    TargetEntry entry, long changedIndex, boolean drainAsked, List<String> superseded) {
  private static final int SUPERSEDED_KEPT = 8;

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
    List<String> earlier =
        Stream.concat(Stream.of(spec().incarnation()), superseded.stream())
            .limit(SUPERSEDED_KEPT)
            .toList();
    TargetEntry changed = new TargetEntry(spec, TargetStatus.ACTIVE, entry.grant());
    return new TargetState(changed, index, false, earlier);
  }

  TargetState withSpec(TargetSpec spec) {
    TargetEntry changed = new TargetEntry(spec, status(), entry.grant());
    return new TargetState(changed, changedIndex, drainAsked, superseded);
  }

  TargetState withStatus(TargetStatus status, long index) {
    Optional<DispatchGrant> grant = status == TargetStatus.GONE ? Optional.empty() : entry.grant();
    boolean drain = drainAsked || status == TargetStatus.DRAINING;
    return new TargetState(new TargetEntry(spec(), status, grant), index, drain, superseded);
  }

  /** Returns the target after it answered again while LOST. */
  TargetState recovered(long index) {
    return withStatus(drainAsked ? TargetStatus.DRAINING : TargetStatus.ACTIVE, index);
  }

  TargetState withGrant(Optional<DispatchGrant> grant, long index) {
    TargetEntry changed = new TargetEntry(spec(), status(), grant);
    return new TargetState(changed, index, drainAsked, superseded);
  }
}
