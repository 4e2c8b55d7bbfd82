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
 * Journal that consists of a snapshot file and numbered segments of the log.
 *
 * <p>Each snapshot starts a new segment, and segments with only entries before the retained ones
 * are deleted. Only the hard state and the highest index of each segment are kept in memory.
 */
final class SegmentedJournal implements Journal {
  private final Path folder;
  private final JournalFolder journalFolder;
  private final AutoCloseable lock;
  private final String diskId;
  private final TreeMap<Long, Long> lastIndexBySegment;
  private Optional<DurableState> recovered;
  private HardState hardState;
  private FileAccess.AppendFile activeSegment;
  private boolean failed;

  private SegmentedJournal(Path folder, FileAccess files, AutoCloseable lock) throws IOException {
    this.folder = folder;
    this.lock = lock;
    journalFolder = new JournalFolder(folder, files);
    diskId = readOrCreateDiskId();
    JournalRecovery recovery = new JournalRecovery(journalFolder);
    DurableState state = recovery.run();
    recovered = Optional.of(state);
    hardState = state.hardState();
    lastIndexBySegment = recovery.lastIndexBySegment();
    activeSegment = journalFolder.append(JournalFolder.segmentName(lastIndexBySegment.lastKey()));
    activeSegment.truncate(recovery.validBytes());
    activeSegment.sync();
  }

  /**
   * Reads the disk identity, or creates the first segment and then the identity in a new folder. A
   * folder that has an identity but no log has lost its hard state, and a member that started from
   * it could vote a second time in a term.
   */
  private String readOrCreateDiskId() throws IOException {
    if (!journalFolder.names().contains(JournalFolder.DISK_ID)) {
      if (journalFolder.containsState()) {
        throw ColtsfootwheelException.of(
            ErrorKind.JOURNAL_CORRUPT,
            journalFolder.path(JournalFolder.DISK_ID)
                + " is missing, but the folder contains a log or snapshot");
      }
      journalFolder.createFirstSegment();
      byte[] id = UUID.randomUUID().toString().replace("-", "").getBytes(StandardCharsets.US_ASCII);
      journalFolder.replaceAtomically(JournalFolder.DISK_ID, id);
    }
    return new String(journalFolder.readAll(JournalFolder.DISK_ID), StandardCharsets.US_ASCII);
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
        () -> new IllegalStateException("the recovered state was released by the first write"));
  }

  @Override
  public void persist(List<ReplicationEffect.Persist> effects) {
    runUnlessFailed(
        () -> {
          byte[] record = RecordFormat.record(ControlCodec.encode(new Batch(effects)));
          activeSegment.write(ByteBuffer.wrap(record));
          activeSegment.sync();
          effects.forEach(this::recordWritten);
        });
  }

  private void recordWritten(ReplicationEffect.Persist effect) {
    effect.hardState().ifPresent(h -> hardState = h);
    effect
        .entries()
        .forEach(e -> lastIndexBySegment.merge(lastIndexBySegment.lastKey(), e.index(), Math::max));
  }

  @Override
  public void persistSnapshot(ReplicationEffect.PersistSnapshot effect) {
    runUnlessFailed(
        () -> {
          startSegment();
          long firstSegment =
              effect.replacesLog()
                  ? lastIndexBySegment.lastKey()
                  : firstNeededSegment(effect.firstRetainedIndex());
          journalFolder.replaceSnapshot(
              new StoredSnapshot(effect.snapshot(), effect.firstRetainedIndex(), firstSegment));
          deleteSegmentsBefore(firstSegment);
        });
  }

  /**
   * Starts a segment whose first record repeats the hard state. This comes before the snapshot,
   * which may allow the deletion of the segment that contained the hard state.
   */
  private void startSegment() throws IOException {
    activeSegment.close();
    long number = lastIndexBySegment.lastKey() + 1;
    journalFolder.createSegment(number, Batch.of(hardState));
    activeSegment = journalFolder.append(JournalFolder.segmentName(number));
    lastIndexBySegment.put(number, 0L);
  }

  private long firstNeededSegment(long firstRetainedIndex) {
    return lastIndexBySegment.entrySet().stream()
        .filter(s -> s.getValue() >= firstRetainedIndex)
        .findFirst()
        .orElseGet(lastIndexBySegment::lastEntry)
        .getKey();
  }

  private void deleteSegmentsBefore(long firstSegment) throws IOException {
    while (lastIndexBySegment.firstKey() < firstSegment) {
      journalFolder.delete(JournalFolder.segmentName(lastIndexBySegment.pollFirstEntry().getKey()));
    }
    journalFolder.sync();
  }

  private interface Operation {
    void run() throws IOException;
  }

  private void runUnlessFailed(Operation operation) {
    if (failed) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_FAILED,
          "journal " + folder + " accepts no writes after an earlier one failed");
    }
    recovered = Optional.empty();
    failed = true;
    try {
      operation.run();
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_FAILED, "write to journal " + folder + " failed: " + e.getMessage(), e);
    }
    failed = false;
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      // Ignored, so that it does not hide an earlier failure.
    }
  }

  @Override
  public void close() {
    failed = true;
    closeQuietly(activeSegment);
    closeQuietly(lock);
  }
}
