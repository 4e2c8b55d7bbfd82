package io.coltsfootwheel.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * State that the tool stores next to the lists files between runs.
 *
 * @param baseRevision revision of the lists from which the files were edited
 * @param pending change that was sent and has neither been accepted nor rejected with a conflict
 */
record ListsState(long baseRevision, Optional<PendingChange> pending) {
  /**
   * Change that may or may not have been applied.
   *
   * @param changeId identity of the change
   * @param digest digest of the contents and the base revision of the change
   */
  record PendingChange(String changeId, String digest) {}

  private static final String FILE_NAME = ".coltsfootwheel-lists.json";

  /** Returns the path of the state file in the folder of a lists file. */
  static Path fileNextTo(Path listsFile) {
    return listsFile.toAbsolutePath().resolveSibling(FILE_NAME);
  }

  static Path fileIn(Path folder) {
    return folder.resolve(FILE_NAME);
  }

  /** Reads the state; without a file, the base revision is 0, which has empty lists. */
  static ListsState read(Path file) {
    if (!Files.exists(file)) {
      return new ListsState(0, Optional.empty());
    }
    try {
      return ToolJson.read(Files.readString(file), ListsState.class, file.toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the identity of the pending change if its digest is equal, otherwise the new identity.
   */
  String changeIdFor(String digest, String newChangeId) {
    return pending
        .filter(change -> change.digest().equals(digest))
        .map(PendingChange::changeId)
        .orElse(newChangeId);
  }

  ListsState withBaseRevision(long revision) {
    return new ListsState(revision, pending);
  }

  ListsState withPending(String changeId, String digest) {
    return new ListsState(baseRevision, Optional.of(new PendingChange(changeId, digest)));
  }

  ListsState withoutPending() {
    return new ListsState(baseRevision, Optional.empty());
  }

  /**
   * Replaces the state file.
   *
   * <p>The new contents are synced to disk before the rename, so that the identity of a pending
   * change survives a crash.
   */
  void write(Path file) {
    Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
    byte[] bytes = ToolJson.toPrettyJson(this).getBytes(StandardCharsets.UTF_8);
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
      syncFolder(file.toAbsolutePath().getParent());
    } catch (IOException e) {
      throw ToolException.of(
          ExitCode.FAILED, "nothing was sent: " + file + " cannot be written: " + e);
    }
  }

  private static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
