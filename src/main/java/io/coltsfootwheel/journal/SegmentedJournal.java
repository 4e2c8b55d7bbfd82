package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ErrorKind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/**
 * Journal of one segment file, which each snapshot replaces by a new one.
 *
 * <p>A segment starts with a record of the whole state, so a restart reads only what followed the
 * latest snapshot.
 */
final class SegmentedJournal implements Journal {
  private static final String DISK_FILE = "disk-id";
  private static final String SEGMENT = "segment";

  private final Path folder;
  private final FileAccess files;
  private final AutoCloseable lock;
  private final String diskId;
  private final DurableState recovered;
  private JournalState state;
  private FileAccess.AppendFile file;
  private boolean failed;

  private SegmentedJournal(Path folder, FileAccess files, AutoCloseable lock) throws IOException {
    this.folder = folder;
    this.files = files;
    this.lock = lock;
    List<String> names = files.list(folder);
    if (!names.contains(DISK_FILE)) {
      if (names.contains(SEGMENT)) {
        throw ColtsfootwheelException.of(
            ErrorKind.JOURNAL_CORRUPT, folder.resolve(DISK_FILE) + " is missing at position 0");
      }
      byte[] id = UUID.randomUUID().toString().replace("-", "").getBytes(StandardCharsets.US_ASCII);
      replace(DISK_FILE, id);
    }
    diskId = new String(files.read(folder.resolve(DISK_FILE)), StandardCharsets.US_ASCII);
    if (!names.contains(SEGMENT)) {
      replace(SEGMENT, SegmentFormat.header(new JournalState(DurableState.empty()).content()));
    }
    Path segment = folder.resolve(SEGMENT);
    SegmentFormat.Content content = SegmentFormat.read(segment, files.read(segment));
    state = content.state();
    recovered = state.content();
    file = files.append(segment);
    file.truncate(content.validBytes());
    file.sync();
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
    return recovered;
  }

  @Override
  public void persist(List<ReplicationEffect.Persist> effects) {
    guarded(
        () -> {
          for (ReplicationEffect.Persist effect : effects) {
            file.write(ByteBuffer.wrap(SegmentFormat.record(ControlCodec.encode(effect))));
            state.apply(effect);
          }
          file.sync();
        });
  }

  @Override
  public void persistSnapshot(ReplicationEffect.PersistSnapshot effect) {
    guarded(
        () -> {
          state.apply(effect);
          file.close();
          replace(SEGMENT, SegmentFormat.header(state.content()));
          file = files.append(folder.resolve(SEGMENT));
        });
  }

  private void replace(String name, byte[] bytes) throws IOException {
    Path temporary = folder.resolve(name + ".tmp");
    try (FileAccess.AppendFile output = files.append(temporary)) {
      output.truncate(0);
      output.write(ByteBuffer.wrap(bytes));
      output.sync();
    }
    files.rename(temporary, folder.resolve(name));
    files.syncFolder(folder);
  }

  private interface Operation {
    void run() throws IOException;
  }

  private void guarded(Operation operation) {
    if (failed) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_FAILED, "an earlier write in " + folder + " failed");
    }
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
