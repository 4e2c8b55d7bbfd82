package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Damages the data folder of a stopped control member. */
final class DataFolderCorruption {
  private static final int TRUNCATED_BYTES = 7;

  private DataFolderCorruption() {}

  /** Deletes a folder with all its files. */
  static void delete(Path folder) throws IOException {
    List<Path> files;
    try (Stream<Path> found = Files.walk(folder)) {
      files = found.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : files) {
      Files.delete(file);
    }
  }

  /** Truncates the last segment of the log, as a power loss during a write does. */
  static String truncateLog(Path folder) throws IOException {
    Path segment = lastSegment(folder);
    try (FileChannel channel = FileChannel.open(segment, StandardOpenOption.WRITE)) {
      channel.truncate(channel.size() - TRUNCATED_BYTES);
      return "%s truncated to %d bytes".formatted(segment.getFileName(), channel.size());
    }
  }

  /** Inverts one bit in the middle of the last segment of the log. */
  static String flipLogBit(Path folder) throws IOException {
    Path segment = lastSegment(folder);
    byte[] bytes = Files.readAllBytes(segment);
    int position = bytes.length / 2;
    bytes[position] ^= 1;
    Files.write(segment, bytes);
    return "%s: inverted one bit in byte %d of %d"
        .formatted(segment.getFileName(), position, bytes.length);
  }

  private static Path lastSegment(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("log-"))
          .max(Comparator.comparing(Path::getFileName))
          .orElseThrow();
    }
  }
}
