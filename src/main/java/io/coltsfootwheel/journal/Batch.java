package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.util.List;
import java.util.Optional;

/**
 * Payload of one record of a segment: all effects that one sync covers. They share a record because
 * a crash drops a record as a whole, whereas of several records it may keep a later one without an
 * earlier one.
 *
 * @param effects the effects in the order of writing
 */
record Batch(List<ReplicationEffect.Persist> effects) {
  Batch {
    effects = List.copyOf(effects);
  }

  /**
   * Returns the first record of a segment. It repeats the hard state, so that earlier segments can
   * be deleted.
   */
  static Batch of(HardState hardState) {
    return new Batch(
        List.of(new ReplicationEffect.Persist(0, Optional.of(hardState), 0, List.of())));
  }
}
