package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.util.List;
import java.util.Optional;

/**
 * Payload of a record of a segment: everything that one sync covers. As one record it is torn as a
 * whole; of several records, a crash may keep a later one without an earlier one.
 *
 * @param effects the effects in order
 */
record Batch(List<ReplicationEffect.Persist> effects) {
  Batch {
    effects = List.copyOf(effects);
  }

  /** Returns the first record of a segment, which allows to delete the segments before it. */
  static Batch of(HardState hardState) {
    return new Batch(
        List.of(new ReplicationEffect.Persist(0, Optional.of(hardState), 0, List.of())));
  }
}
