package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ErrorKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;

/**
 * Journal of a snapshot file and numbered segments of the log.
 *
 * <p>Each snapshot starts a segment, and segments that hold nothing after the retained entries are
 * deleted. In memory are only the promises and the highest index of each segment.
 */
final class SegmentedJournal implements Journal {
  private final Path folder;
  private final JournalFolder content;
  private final AutoCloseable lock;
  private final String diskId;
  private final TreeMap<Long, Long> lastIndexOfSegment;
  private Optional<DurableState> recovered;
  private HardState hardState;
  private FileAccess.AppendFile file;
  private boolean failed;

  private SegmentedJournal(Path folder, FileAccess files, AutoCloseable lock) throws IOException {
    this.folder = folder;
    this.lock = lock;
    content = new JournalFolder(folder, files);
    diskId = readOrCreateDiskId();
    JournalRecovery recovery = new JournalRecovery(content);
    DurableState state = recovery.run();
    recovered = Optional.of(state);
    hardState = state.hardState();
    lastIndexOfSegment = recovery.lastIndexOfSegment();
    file = content.append(JournalFolder.segmentName(lastIndexOfSegment.lastKey()));
    file.truncate(recovery.validBytes());
    file.sync();
  }

  /**
   * The log is created before the identity. A folder with an identity and no log has lost its
   * promises, and a member that started from it could vote a second time in a term.
   */
  private String readOrCreateDiskId() throws IOException {
    if (!content.names().contains(JournalFolder.DISK_ID)) {
      if (content.isUsed()) {
        throw ColtsfootwheelException.of(
            ErrorKind.JOURNAL_CORRUPT,
            content.path(JournalFolder.DISK_ID) + " is missing at position 0");
      }
      content.createFirstSegment();
      byte[] id = UUID.randomUUID().toString().replace("-", "").getBytes(StandardCharsets.US_ASCII);
      content.replace(JournalFolder.DISK_ID, id);
    }
    return new String(content.read(JournalFolder.DISK_ID), StandardCharsets.US_ASCII);
  }

  static SegmentedJournal open(Path folder, FileAccess files) {
    try {
      files.createFolder(folder);
      AutoCloseable lock = files.lock(folder.resolve("lock"));
      try {
        return new SegmentedJournal(folder, files, lock);
      } catch (IOException | RuntimeException e) {
        closeQuietly(lock);
        throw e;
      }
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_FAILED, folder + " cannot be opened: " + e.getMessage(), e);
    }
  }

  @Override
  public String diskId() {
    return diskId;
  }

  @Override
  public DurableState recovered() {
    return recovered.orElseThrow(
        () -> new IllegalStateException("the recovered state is released by the first write"));
  }

  @Override
  public void persist(List<ReplicationEffect.Persist> effects) {
    guarded(
        () -> {
          byte[] record = RecordFormat.record(ControlCodec.encode(new Batch(effects)));
          file.write(ByteBuffer.wrap(record));
          file.sync();
          effects.forEach(this::note);
        });
  }

  private void note(ReplicationEffect.Persist effect) {
    effect.hardState().ifPresent(h -> hardState = h);
    effect
        .entries()
        .forEach(e -> lastIndexOfSegment.merge(lastIndexOfSegment.lastKey(), e.index(), Math::max));
  }

  @Override
  public void persistSnapshot(ReplicationEffect.PersistSnapshot effect) {
    guarded(
        () -> {
          startSegment();
          long first =
              effect.replacesLog()
                  ? lastIndexOfSegment.lastKey()
                  : firstNeededSegment(effect.firstRetainedIndex());
          content.replaceSnapshot(
              new StoredSnapshot(effect.snapshot(), effect.firstRetainedIndex(), first));
          deleteSegmentsBefore(first);
        });
  }

  /** Starts the segment before the snapshot counts, because it carries on the promises. */
  private void startSegment() throws IOException {
    file.close();
    long number = lastIndexOfSegment.lastKey() + 1;
    content.createSegment(number, Batch.of(hardState));
    file = content.append(JournalFolder.segmentName(number));
    lastIndexOfSegment.put(number, 0L);
  }

  private long firstNeededSegment(long firstRetainedIndex) {
    return lastIndexOfSegment.entrySet().stream()
        .filter(s -> s.getValue() >= firstRetainedIndex)
        .findFirst()
        .orElseGet(lastIndexOfSegment::lastEntry)
        .getKey();
  }

  private void deleteSegmentsBefore(long first) throws IOException {
    while (lastIndexOfSegment.firstKey() < first) {
      content.delete(JournalFolder.segmentName(lastIndexOfSegment.pollFirstEntry().getKey()));
    }
    content.sync();
  }

  private interface Operation {
    void run() throws IOException;
  }

  private void guarded(Operation operation) {
    if (failed) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_FAILED, "an earlier write in " + folder + " failed");
    }
    recovered = Optional.empty();
    failed = true;
    try {
      operation.run();
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_FAILED, "write in " + folder + " failed: " + e.getMessage(), e);
    }
    failed = false;
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      // The failure that is being reported matters more.
    }
  }

  @Override
  public void close() {
    failed = true;
    closeQuietly(file);
    closeQuietly(lock);
  }
}
