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
 * What the tool remembers beside the lists files between runs.
 *
 * @param baseRevision revision on which the files are based
 * @param pending change that was sent and not yet answered
 */
record ListsState(long baseRevision, Optional<PendingChange> pending) {
  /**
   * Change without a response.
   *
   * @param changeId its identity
   * @param digest digest of its contents and base revision
   */
  record PendingChange(String changeId, String digest) {}

  private static final String FILE_NAME = ".coltsfootwheel-lists.json";

  /** Returns the state file beside a lists file. */
  static Path fileBeside(Path listsFile) {
    return listsFile.toAbsolutePath().resolveSibling(FILE_NAME);
  }

  static Path fileIn(Path folder) {
    return folder.resolve(FILE_NAME);
  }

  /** Reads the state; without a file the lists are based on revision 0, the empty lists. */
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

  /** Returns the identity for a change: the pending one for equal contents, otherwise a new one. */
  String changeIdFor(String digest, String newChangeId) {
    return pending
        .filter(change -> change.digest().equals(digest))
        .map(PendingChange::changeId)
        .orElse(newChangeId);
  }

  ListsState withBase(long revision) {
    return new ListsState(revision, pending);
  }

  ListsState withPending(String changeId, String digest) {
    return new ListsState(baseRevision, Optional.of(new PendingChange(changeId, digest)));
  }

  ListsState answered() {
    return new ListsState(baseRevision, Optional.empty());
  }

  /**
   * Replaces the state file; it is synced before the rename, so that a crash keeps the identity.
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
