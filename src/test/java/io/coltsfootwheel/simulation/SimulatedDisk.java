package io.coltsfootwheel.simulation;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Disk that keeps synced writes, and loses unsynced ones in a crash. */
public final class SimulatedDisk {
  private final String id;
  private final Deque<ReplicationEffect> unsynced = new ArrayDeque<>();
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private HardState hardState = HardState.empty();
  private Optional<ReplicationSnapshot> snapshot = Optional.empty();

  public SimulatedDisk(String id) {
    this.id = id;
  }

  public String id() {
    return id;
  }

  public void write(ReplicationEffect effect) {
    unsynced.add(effect);
  }

  public boolean hasUnsynced() {
    return !unsynced.isEmpty();
  }

  /** Syncs the oldest unsynced writes, and returns the sequence number of the last one synced. */
  public long sync(int writes) {
    long sequence = 0;
    for (int i = 0; i < writes && !unsynced.isEmpty(); i++) {
      sequence = store(unsynced.poll());
    }
    return sequence;
  }

  public int unsyncedCount() {
    return unsynced.size();
  }

  /** Loses the unsynced writes except for the given number of oldest ones, as a crash may do. */
  public void crash(int keptWrites) {
    sync(keptWrites);
    unsynced.clear();
  }

  public DurableState durableState() {
    return new DurableState(hardState, snapshot, List.copyOf(entries.values()));
  }

  private long store(ReplicationEffect effect) {
    if (effect instanceof ReplicationEffect.Persist persist) {
      persist.hardState().ifPresent(h -> hardState = h);
      if (persist.truncateFrom() > 0) {
        entries.tailMap(persist.truncateFrom(), true).clear();
      }
      persist.entries().forEach(this::append);
      return persist.sequence();
    }
    ReplicationEffect.PersistSnapshot persist = (ReplicationEffect.PersistSnapshot) effect;
    snapshot = Optional.of(persist.snapshot());
    if (persist.replacesLog()) {
      entries.clear();
    } else {
      entries.headMap(persist.firstRetainedIndex(), false).clear();
    }
    return persist.sequence();
  }

  private void append(LogEntry entry) {
    long lastIndex =
        entries.isEmpty() ? snapshot.map(ReplicationSnapshot::index).orElse(0L) : entries.lastKey();
    if (entry.index() != lastIndex + 1) {
      throw new IllegalStateException(
          "disk " + id + ": index " + entry.index() + " follows index " + lastIndex);
    }
    entries.put(entry.index(), entry);
  }
}
