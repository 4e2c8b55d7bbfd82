package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Damage to the data folder of a stopped member. */
final class DiskDamage {
  private static final int TORN_BYTES = 7;

  private DiskDamage() {}

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

  /** Cuts the last bytes off the log, as a power loss within a write does. */
  static String truncate(Path folder) throws IOException {
    Path segment = segment(folder);
    try (FileChannel channel = FileChannel.open(segment, StandardOpenOption.WRITE)) {
      channel.truncate(channel.size() - TORN_BYTES);
      return "%s cut to %d bytes".formatted(segment.getFileName(), channel.size());
    }
  }

  /** Inverts one bit in the middle of the log. */
  static String flipBit(Path folder) throws IOException {
    Path segment = segment(folder);
    byte[] bytes = Files.readAllBytes(segment);
    int position = bytes.length / 2;
    bytes[position] ^= 1;
    Files.write(segment, bytes);
    return "%s: bit of byte %d of %d inverted"
        .formatted(segment.getFileName(), position, bytes.length);
  }

  private static Path segment(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("log-"))
          .max(Comparator.comparing(Path::getFileName))
          .orElseThrow();
    }
  }
}
