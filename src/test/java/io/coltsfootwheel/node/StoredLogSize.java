package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.util.TreeMap;

/** Size of the entries that a process keeps, followed from its writes. */
final class StoredLogSize {
  private final TreeMap<Long, Integer> bytesByIndex = new TreeMap<>();
  private long largestBytes;

  void record(ReplicationEffect effect) {
    if (effect instanceof ReplicationEffect.Persist persist) {
      if (persist.truncateFrom() > 0) {
        bytesByIndex.tailMap(persist.truncateFrom(), true).clear();
      }
      persist.entries().forEach(this::add);
    } else if (effect instanceof ReplicationEffect.PersistSnapshot snapshot) {
      bytesByIndex.headMap(snapshot.firstRetainedIndex(), false).clear();
    }
    long bytes = bytesByIndex.values().stream().mapToLong(Integer::longValue).sum();
    largestBytes = Math.max(largestBytes, bytes);
  }

  private void add(LogEntry entry) {
    bytesByIndex.put(entry.index(), entry.bytes().length);
  }

  long largestBytes() {
    return largestBytes;
  }
}
