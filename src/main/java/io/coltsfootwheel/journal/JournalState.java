package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Durable state, rebuilt by applying the records of a folder in order. */
final class JournalState {
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private HardState hardState;
  private Optional<ReplicationSnapshot> snapshot;
  private long firstRetainedIndex;

  JournalState(DurableState initial) {
    hardState = initial.hardState();
    snapshot = initial.snapshot();
    initial.entries().forEach(e -> entries.put(e.index(), e));
  }

  void apply(ReplicationEffect.Persist effect) {
    effect.hardState().ifPresent(h -> hardState = h);
    if (effect.truncateFrom() > 0) {
      entries.tailMap(effect.truncateFrom(), true).clear();
    }
    effect.entries().stream()
        .filter(e -> e.index() >= firstRetainedIndex)
        .forEach(e -> entries.put(e.index(), e));
  }

  /** Drops entries that the snapshot replaces, also in records that are applied later. */
  void dropBefore(long index) {
    firstRetainedIndex = index;
    entries.headMap(index, false).clear();
  }

  /** Sets the snapshot after all records were applied. */
  void apply(StoredSnapshot stored) {
    snapshot = Optional.of(stored.snapshot());
    dropBefore(stored.firstRetainedIndex());
  }

  DurableState content() {
    return new DurableState(hardState, snapshot, List.copyOf(entries.values()));
  }
}
