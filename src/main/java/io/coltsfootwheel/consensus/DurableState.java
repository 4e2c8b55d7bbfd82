package io.coltsfootwheel.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a member finds in its data folder when it starts.
 *
 * @param hardState term, vote and initial configuration
 * @param snapshot latest snapshot
 * @param entries log entries without gaps; entries that the snapshot includes may precede its index
 */
public record DurableState(
    HardState hardState, Optional<ReplicationSnapshot> snapshot, List<LogEntry> entries) {
  /** Copies the entries. */
  public DurableState {
    entries = List.copyOf(entries);
  }

  /**
   * Returns the content of an empty data folder.
   *
   * @return no promises and no entries
   */
  public static DurableState empty() {
    return new DurableState(HardState.empty(), Optional.empty(), List.of());
  }
}
