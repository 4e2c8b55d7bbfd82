package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.model.ControlCodec;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Names and contents of the files in the folder of a journal. */
final class JournalFolder {
  static final String DISK_ID = "disk-id";
  static final String SNAPSHOT = "snapshot";

  /** Name of the only file of format version 1, which contains snapshot and log. */
  static final String LEGACY_FILE = "segment";

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

  InputStream read(String name) throws IOException {
    return files.read(path(name));
  }

  /** Reads a whole file, which must be small. */
  byte[] readAll(String name) throws IOException {
    try (InputStream input = read(name)) {
      return input.readAllBytes();
    }
  }

  FileAccess.AppendFile append(String name) throws IOException {
    return files.append(path(name));
  }

  void delete(String name) throws IOException {
    files.delete(path(name));
  }

  /** Creates the empty log of a new journal. */
  void createFirstSegment() throws IOException {
    createSegment(FIRST_SEGMENT, Batch.of(HardState.empty()));
  }

  /** Tells whether the folder contains a snapshot, a hard state or entries. */
  boolean containsState() throws IOException {
    List<String> names = names();
    List<Long> segments = segmentNumbers();
    boolean isEmptyLog = segments.equals(List.of(FIRST_SEGMENT)) && isEmptyFirstSegment();
    return names.contains(LEGACY_FILE)
        || names.contains(SNAPSHOT)
        || !segments.isEmpty() && !isEmptyLog;
  }

  private boolean isEmptyFirstSegment() throws IOException {
    byte[] emptySegment = RecordFormat.file(ControlCodec.encode(Batch.of(HardState.empty())));
    try (InputStream input = read(segmentName(FIRST_SEGMENT))) {
      return Arrays.equals(emptySegment, input.readNBytes(emptySegment.length + 1));
    }
  }

  void createSegment(long number, Batch firstBatch) throws IOException {
    replaceWithRecord(segmentName(number), ControlCodec.encode(firstBatch));
  }

  void replaceSnapshot(StoredSnapshot snapshot) throws IOException {
    replaceWithRecord(SNAPSHOT, ControlCodec.encode(snapshot));
  }

  /** Writes a file of one record without a further copy of its payload, which may be large. */
  private void replaceWithRecord(String name, byte[] payload) throws IOException {
    replaceAtomically(name, RecordFormat.fileHeader(payload), payload);
  }

  /** Replaces the content of a file; a crash leaves either the old or the new content. */
  void replaceAtomically(String name, byte[]... parts) throws IOException {
    Path temporary = folder.resolve(name + ".tmp");
    try (FileAccess.AppendFile output = files.append(temporary)) {
      output.truncate(0);
      for (byte[] part : parts) {
        output.write(ByteBuffer.wrap(part));
      }
      output.sync();
    }
    files.rename(temporary, folder.resolve(name));
    sync();
  }

  void sync() throws IOException {
    files.syncFolder(folder);
  }
}
