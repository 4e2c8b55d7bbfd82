package io.coltsfootwheel.consensus;

import java.util.List;
import java.util.Optional;

/**
 * Content of the data folder when a member starts.
 *
 * @param hardState term, vote and initial configuration
 * @param snapshot latest snapshot, empty when none was taken or received
 * @param entries log entries without gaps; may begin with entries that the snapshot includes
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
   * @return term 0 without vote, snapshot and entries
   */
  public static DurableState empty() {
    return new DurableState(HardState.empty(), Optional.empty(), List.of());
  }
}
