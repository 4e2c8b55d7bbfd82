package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.ControlCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Log entries in memory, the latest snapshot, and the configurations that both contain.
 *
 * <p>The base is the entry before the first one in memory; only its index and term are known.
 */
final class ReplicatedLog {
  /** Result of {@link #termAt} for an index before the base or after the last entry. */
  static final long UNKNOWN_TERM = -1;

  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, GroupConfiguration> configurationByIndex = new TreeMap<>();
  private long baseIndex;
  private long baseTerm;
  private Optional<ReplicationSnapshot> snapshot = Optional.empty();

  ReplicatedLog(DurableState durable) {
    durable.hardState().initialConfiguration().ifPresent(c -> configurationByIndex.put(0L, c));
    durable.snapshot().ifPresent(this::resetTo);
    List<LogEntry> stored = durable.entries();
    if (!stored.isEmpty() && stored.get(0).index() <= baseIndex) {
      stored = rebaseToRetained(stored);
    }
    stored.forEach(this::append);
  }

  /**
   * Moves the base back to the first stored entry, if the stored entries lead up to the snapshot,
   * and returns the entries after it. Stored entries of another log are dropped.
   */
  private List<LogEntry> rebaseToRetained(List<LogEntry> stored) {
    LogEntry first = stored.get(0);
    int position = (int) (baseIndex - first.index());
    if (position >= stored.size() || stored.get(position).term() != baseTerm) {
      return List.of();
    }
    baseIndex = first.index();
    baseTerm = first.term();
    return stored.subList(1, stored.size());
  }

  private void resetTo(ReplicationSnapshot newSnapshot) {
    entries.clear();
    configurationByIndex.clear();
    configurationByIndex.put(newSnapshot.index(), newSnapshot.configuration());
    baseIndex = newSnapshot.index();
    baseTerm = newSnapshot.term();
    snapshot = Optional.of(newSnapshot);
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  long baseIndex() {
    return baseIndex;
  }

  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? UNKNOWN_TERM : entry(index).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns entries from an index on within the limits; the first entry may exceed the bytes. */
  List<LogEntry> batch(long from, int maxEntries, int maxBytes) {
    List<LogEntry> result = new ArrayList<>();
    long bytes = 0;
    for (long index = from; index <= lastIndex() && result.size() < maxEntries; index++) {
      LogEntry entry = entry(index);
      bytes += entry.bytes().length;
      if (bytes > maxBytes && !result.isEmpty()) {
        break;
      }
      result.add(entry);
    }
    return List.copyOf(result);
  }

  /** Returns whether the entries after one index, up to another, reach a size. */
  boolean reachesBytes(long afterIndex, long lastIndex, long limitBytes) {
    long bytes = 0;
    long index = Math.max(afterIndex, baseIndex) + 1;
    while (bytes < limitBytes && index <= lastIndex) {
      bytes += entry(index).bytes().length;
      index++;
    }
    return bytes >= limitBytes;
  }

  void append(LogEntry entry) {
    entries.add(entry);
    if (entry.kind() != EntryKind.COMMAND && entry.index() > latestSnapshotIndex()) {
      configurationByIndex.put(
          entry.index(), ControlCodec.decode(entry.bytes(), GroupConfiguration.class));
    }
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    configurationByIndex.tailMap(index, true).clear();
  }

  Optional<GroupConfiguration> configuration() {
    return Optional.ofNullable(configurationByIndex.lastEntry()).map(e -> e.getValue());
  }

  Optional<GroupConfiguration> configurationAt(long index) {
    return Optional.ofNullable(configurationByIndex.floorEntry(index)).map(e -> e.getValue());
  }

  long configurationIndex() {
    return configurationByIndex.isEmpty() ? 0 : configurationByIndex.lastKey();
  }

  Optional<ReplicationSnapshot> snapshot() {
    return snapshot;
  }

  long latestSnapshotIndex() {
    return snapshot.map(ReplicationSnapshot::index).orElse(0L);
  }

  /**
   * Stores a snapshot at an applied index, and drops the entries before the ones to retain; returns
   * the snapshot.
   */
  ReplicationSnapshot compact(long index, byte[] bytes, int retainedEntries, long retainedBytes) {
    GroupConfiguration configuration = configurationByIndex.floorEntry(index).getValue();
    ReplicationSnapshot newSnapshot =
        new ReplicationSnapshot(index, termAt(index), configuration, bytes);
    configurationByIndex.headMap(index, true).clear();
    configurationByIndex.put(index, configuration);
    long newBaseIndex = newBaseIndex(index, retainedEntries, retainedBytes);
    long newBaseTerm = termAt(newBaseIndex);
    entries.subList(0, (int) (newBaseIndex - baseIndex)).clear();
    baseIndex = newBaseIndex;
    baseTerm = newBaseTerm;
    snapshot = Optional.of(newSnapshot);
    return newSnapshot;
  }

  /** Returns the index before the entries to retain, which are within both limits. */
  private long newBaseIndex(long snapshotIndex, int retainedEntries, long retainedBytes) {
    long firstRetained = snapshotIndex + 1;
    long lowestRetained = Math.max(baseIndex, snapshotIndex - retainedEntries) + 1;
    long bytes = 0;
    while (firstRetained > lowestRetained) {
      bytes += entry(firstRetained - 1).bytes().length;
      if (bytes > retainedBytes) {
        break;
      }
      firstRetained--;
    }
    return firstRetained - 1;
  }

  void setInitialConfiguration(GroupConfiguration configuration) {
    configurationByIndex.put(0L, configuration);
  }

  void replaceWith(ReplicationSnapshot received) {
    resetTo(received);
  }
}
