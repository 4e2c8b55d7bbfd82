package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import io.coltsfootwheel.model.ControlCodec;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Restores the durable state from the files of a folder. */
final class JournalRecovery {
  private final JournalFolder folder;
  private final JournalState state = new JournalState(DurableState.empty());
  private final TreeMap<Long, Long> lastIndexBySegment = new TreeMap<>();
  private long validBytes;

  JournalRecovery(JournalFolder folder) {
    this.folder = folder;
  }

  /**
   * Reads all files, after converting those of format version 1, and deletes segments that precede
   * the snapshot's first one.
   */
  DurableState run() throws IOException {
    convertLegacyFile();
    Optional<StoredSnapshot> snapshot = readSnapshot();
    long first = snapshot.map(StoredSnapshot::firstSegment).orElse(JournalFolder.FIRST_SEGMENT);
    snapshot.ifPresent(s -> state.dropBefore(s.firstRetainedIndex()));
    readSegments(first);
    snapshot.ifPresent(state::apply);
    checkContiguous(state.content());
    return state.content();
  }

  /** Returns the highest log index that was written to each segment, by segment number. */
  TreeMap<Long, Long> lastIndexBySegment() {
    return lastIndexBySegment;
  }

  /** Returns the length of the valid records in the last segment, without a torn tail. */
  long validBytes() {
    return validBytes;
  }

  /**
   * Converts a file of format version 1 to a snapshot file and a segment. The file is deleted last,
   * so that a crash during the conversion repeats it.
   */
  private void convertLegacyFile() throws IOException {
    if (!folder.names().contains(JournalFolder.LEGACY_FILE)) {
      return;
    }
    DurableState content = readLegacyFile();
    Optional<ReplicationSnapshot> snapshot = content.snapshot();
    if (snapshot.isPresent()) {
      folder.replaceSnapshot(new StoredSnapshot(snapshot.get(), 0, JournalFolder.FIRST_SEGMENT));
    }
    ReplicationEffect.Persist allState =
        new ReplicationEffect.Persist(0, Optional.of(content.hardState()), 0, content.entries());
    folder.createSegment(JournalFolder.FIRST_SEGMENT, new Batch(List.of(allState)));
    folder.delete(JournalFolder.LEGACY_FILE);
    folder.sync();
  }

  private DurableState readLegacyFile() throws IOException {
    JournalState[] read = new JournalState[1];
    reader(JournalFolder.LEGACY_FILE, RecordFormat.LEGACY_VERSION)
        .readUpToTornTail(
            payload -> {
              if (read[0] == null) {
                read[0] = new JournalState(ControlCodec.decode(payload, DurableState.class));
              } else {
                read[0].apply(ControlCodec.decode(payload, ReplicationEffect.Persist.class));
              }
            });
    return read[0].content();
  }

  private Optional<StoredSnapshot> readSnapshot() throws IOException {
    if (!folder.names().contains(JournalFolder.SNAPSHOT)) {
      return Optional.empty();
    }
    StoredSnapshot[] read = new StoredSnapshot[1];
    reader(JournalFolder.SNAPSHOT, RecordFormat.VERSION)
        .readComplete(payload -> read[0] = ControlCodec.decode(payload, StoredSnapshot.class));
    return Optional.of(read[0]);
  }

  private void readSegments(long first) throws IOException {
    List<Long> numbers = folder.segmentNumbers();
    for (long number : numbers) {
      if (number < first) {
        folder.delete(JournalFolder.segmentName(number));
      }
    }
    long last = numbers.isEmpty() ? first : Math.max(first, numbers.get(numbers.size() - 1));
    for (long number = first; number <= last; number++) {
      if (!numbers.contains(number)) {
        throw RecordFormat.corrupt(folder.path(JournalFolder.segmentName(number)), 0);
      }
      readSegment(number, number == last);
    }
  }

  private void readSegment(long number, boolean isLast) throws IOException {
    String name = JournalFolder.segmentName(number);
    lastIndexBySegment.put(number, 0L);
    RecordReader records = reader(name, RecordFormat.VERSION);
    if (isLast) {
      validBytes = records.readUpToTornTail(payload -> apply(number, payload));
    } else {
      records.readComplete(payload -> apply(number, payload));
    }
  }

  private RecordReader reader(String name, int version) {
    return new RecordReader(folder.path(name), () -> folder.read(name), version);
  }

  private void apply(long segment, InputStream payload) {
    for (ReplicationEffect.Persist effect : ControlCodec.decode(payload, Batch.class).effects()) {
      state.apply(effect);
      effect.entries().forEach(e -> lastIndexBySegment.merge(segment, e.index(), Math::max));
    }
  }

  private void checkContiguous(DurableState content) {
    long nextIndex = content.snapshot().map(s -> s.index() + 1).orElse(1L);
    for (LogEntry entry : content.entries()) {
      if (entry.index() > nextIndex) {
        long segment = lastIndexBySegment.lastKey();
        throw RecordFormat.corrupt(folder.path(JournalFolder.segmentName(segment)), 0);
      }
      nextIndex = entry.index() + 1;
    }
  }
}
