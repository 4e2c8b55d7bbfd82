package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import io.coltsfootwheel.model.ControlCodec;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Reads a folder when it is opened. */
final class JournalRecovery {
  private final JournalFolder folder;
  private final JournalState state = new JournalState(DurableState.empty());
  private final TreeMap<Long, Long> lastIndexOfSegment = new TreeMap<>();
  private int validBytes;

  JournalRecovery(JournalFolder folder) {
    this.folder = folder;
  }

  /** Reads everything; afterwards the folder holds no files that do not count. */
  DurableState run() throws IOException {
    convertSingleFile();
    Optional<StoredSnapshot> snapshot = readSnapshot();
    long first = snapshot.map(StoredSnapshot::firstSegment).orElse(JournalFolder.FIRST_SEGMENT);
    readSegments(first);
    snapshot.ifPresent(state::apply);
    checkContiguous(state.content());
    return state.content();
  }

  /** Returns the highest index that was written to each segment. */
  TreeMap<Long, Long> lastIndexOfSegment() {
    return lastIndexOfSegment;
  }

  /** Returns the length of the last segment without a torn tail. */
  int validBytes() {
    return validBytes;
  }

  /** The single file counts until it is deleted, so a crash in between repeats the conversion. */
  private void convertSingleFile() throws IOException {
    if (!folder.names().contains(JournalFolder.SINGLE_FILE)) {
      return;
    }
    DurableState content = readSingleFile();
    Optional<ReplicationSnapshot> snapshot = content.snapshot();
    if (snapshot.isPresent()) {
      folder.replaceSnapshot(new StoredSnapshot(snapshot.get(), 0, JournalFolder.FIRST_SEGMENT));
    }
    ReplicationEffect.Persist all =
        new ReplicationEffect.Persist(0, Optional.of(content.hardState()), 0, content.entries());
    folder.createSegment(JournalFolder.FIRST_SEGMENT, new Batch(List.of(all)));
    folder.delete(JournalFolder.SINGLE_FILE);
    folder.sync();
  }

  private DurableState readSingleFile() throws IOException {
    JournalState[] read = new JournalState[1];
    RecordFormat.readUpToTornTail(
        folder.path(JournalFolder.SINGLE_FILE),
        folder.read(JournalFolder.SINGLE_FILE),
        RecordFormat.SINGLE_FILE_VERSION,
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
    RecordFormat.readComplete(
        folder.path(JournalFolder.SNAPSHOT),
        folder.read(JournalFolder.SNAPSHOT),
        payload -> read[0] = ControlCodec.decode(payload, StoredSnapshot.class));
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
    byte[] bytes = folder.read(name);
    lastIndexOfSegment.put(number, 0L);
    if (isLast) {
      validBytes =
          RecordFormat.readUpToTornTail(
              folder.path(name), bytes, RecordFormat.VERSION, p -> apply(number, p));
    } else {
      RecordFormat.readComplete(folder.path(name), bytes, p -> apply(number, p));
    }
  }

  private void apply(long segment, byte[] payload) {
    for (ReplicationEffect.Persist effect : ControlCodec.decode(payload, Batch.class).effects()) {
      state.apply(effect);
      effect.entries().forEach(e -> lastIndexOfSegment.merge(segment, e.index(), Math::max));
    }
  }

  private void checkContiguous(DurableState content) {
    long expected = content.snapshot().map(s -> s.index() + 1).orElse(1L);
    for (LogEntry entry : content.entries()) {
      if (entry.index() > expected) {
        long segment = lastIndexOfSegment.lastKey();
        throw RecordFormat.corrupt(folder.path(JournalFolder.segmentName(segment)), 0);
      }
      expected = entry.index() + 1;
    }
  }
}
