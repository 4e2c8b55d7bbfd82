package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.model.ControlCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Files of a journal, by name. */
final class JournalFolder {
  static final String DISK_ID = "disk-id";
  static final String SNAPSHOT = "snapshot";

  /** File of format version 1, which held snapshot and log together. */
  static final String SINGLE_FILE = "segment";

  static final long FIRST_SEGMENT = 1;

  private static final String SEGMENT_PREFIX = "log-";

  private final Path folder;
  private final FileAccess files;

  JournalFolder(Path folder, FileAccess files) {
    this.folder = folder;
    this.files = files;
  }

  Path path(String name) {
    return folder.resolve(name);
  }

  List<String> names() throws IOException {
    return files.list(folder);
  }

  /** Returns the numbers of the segments in increasing order. */
  List<Long> segmentNumbers() throws IOException {
    return names().stream()
        .filter(n -> n.matches(SEGMENT_PREFIX + "\\d{12}"))
        .map(n -> Long.parseLong(n.substring(SEGMENT_PREFIX.length())))
        .sorted()
        .toList();
  }

  static String segmentName(long number) {
    return SEGMENT_PREFIX + "%012d".formatted(number);
  }

  byte[] read(String name) throws IOException {
    return files.read(path(name));
  }

  FileAccess.AppendFile append(String name) throws IOException {
    return files.append(path(name));
  }

  void delete(String name) throws IOException {
    files.delete(path(name));
  }

  /** Creates the empty log of a new folder. */
  void createFirstSegment() throws IOException {
    createSegment(FIRST_SEGMENT, Batch.of(HardState.empty()));
  }

  /** Tells whether the folder holds promises or entries. */
  boolean isUsed() throws IOException {
    List<String> names = names();
    List<Long> segments = segmentNumbers();
    boolean isEmptyLog = segments.equals(List.of(FIRST_SEGMENT)) && isEmptyFirstSegment();
    return names.contains(SINGLE_FILE)
        || names.contains(SNAPSHOT)
        || !segments.isEmpty() && !isEmptyLog;
  }

  private boolean isEmptyFirstSegment() throws IOException {
    byte[] empty = RecordFormat.file(ControlCodec.encode(Batch.of(HardState.empty())));
    return Arrays.equals(empty, read(segmentName(FIRST_SEGMENT)));
  }

  void createSegment(long number, Batch first) throws IOException {
    replace(segmentName(number), RecordFormat.file(ControlCodec.encode(first)));
  }

  void replaceSnapshot(StoredSnapshot snapshot) throws IOException {
    replace(SNAPSHOT, RecordFormat.file(ControlCodec.encode(snapshot)));
  }

  /** Gives a file new content; a crash leaves either the old or the new one. */
  void replace(String name, byte[] bytes) throws IOException {
    Path temporary = folder.resolve(name + ".tmp");
    try (FileAccess.AppendFile output = files.append(temporary)) {
      output.truncate(0);
      output.write(ByteBuffer.wrap(bytes));
      output.sync();
    }
    files.rename(temporary, folder.resolve(name));
    sync();
  }

  void sync() throws IOException {
    files.syncFolder(folder);
  }
}
