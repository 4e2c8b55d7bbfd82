package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.ControlCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Log entries in memory, the latest snapshot, and the configurations that both contain. */
final class ReplicatedLog {
  /** Result of {@link #termAt} for an index that is compacted or not yet reached. */
  static final long UNKNOWN_TERM = -1;

  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, Configuration> configurations = new TreeMap<>();
  private long baseIndex;
  private long baseTerm;
  private Optional<ReplicationSnapshot> snapshot = Optional.empty();

  ReplicatedLog(DurableState durable) {
    durable.hardState().initialConfiguration().ifPresent(c -> configurations.put(0L, c));
    durable.snapshot().ifPresent(this::startAt);
    List<LogEntry> stored = durable.entries();
    if (!stored.isEmpty() && stored.get(0).index() <= baseIndex) {
      stored = fromRetained(stored);
    }
    stored.forEach(this::append);
  }

  private List<LogEntry> fromRetained(List<LogEntry> stored) {
    LogEntry first = stored.get(0);
    int position = (int) (baseIndex - first.index());
    if (position >= stored.size() || stored.get(position).term() != baseTerm) {
      return List.of();
    }
    baseIndex = first.index();
    baseTerm = first.term();
    return stored.subList(1, stored.size());
  }

  private void startAt(ReplicationSnapshot start) {
    entries.clear();
    configurations.clear();
    configurations.put(start.index(), start.configuration());
    baseIndex = start.index();
    baseTerm = start.term();
    snapshot = Optional.of(start);
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

  /** Returns entries from an index on, within the limits but at least one if there is one. */
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

  void append(LogEntry entry) {
    entries.add(entry);
    if (entry.kind() != EntryKind.COMMAND && entry.index() > latestSnapshotIndex()) {
      configurations.put(entry.index(), ControlCodec.decode(entry.bytes(), Configuration.class));
    }
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    configurations.tailMap(index, true).clear();
  }

  Optional<Configuration> configuration() {
    return Optional.ofNullable(configurations.lastEntry()).map(e -> e.getValue());
  }

  Optional<Configuration> configurationAt(long index) {
    return Optional.ofNullable(configurations.floorEntry(index)).map(e -> e.getValue());
  }

  long configurationIndex() {
    return configurations.isEmpty() ? 0 : configurations.lastKey();
  }

  Optional<ReplicationSnapshot> snapshot() {
    return snapshot;
  }

  long latestSnapshotIndex() {
    return snapshot.map(ReplicationSnapshot::index).orElse(0L);
  }

  /** Records a snapshot of an index in the log and drops old entries; returns the snapshot. */
  ReplicationSnapshot compact(long index, byte[] bytes, int retainedEntries) {
    Configuration configuration = configurations.floorEntry(index).getValue();
    ReplicationSnapshot taken = new ReplicationSnapshot(index, termAt(index), configuration, bytes);
    configurations.headMap(index, true).clear();
    configurations.put(index, configuration);
    long newBase = Math.max(baseIndex, index - retainedEntries);
    long newBaseTerm = termAt(newBase);
    entries.subList(0, (int) (newBase - baseIndex)).clear();
    baseIndex = newBase;
    baseTerm = newBaseTerm;
    snapshot = Optional.of(taken);
    return taken;
  }

  void setInitialConfiguration(Configuration configuration) {
    configurations.put(0L, configuration);
  }

  void replaceBy(ReplicationSnapshot received) {
    startAt(received);
  }
}
