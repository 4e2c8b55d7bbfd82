package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.EntryKind;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/**
 * Measures a restart against the length of the log; arguments: folder, number of entries, and
 * "write" to fill the folder or "read" to open it in a process of its own.
 */
final class JournalMeasurement {
  private static final int ENTRY_BYTES = 100;
  private static final int BATCH_ENTRIES = 100;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final int BYTES_PER_KIB = 1024;

  private JournalMeasurement() {}

  public static void main(String[] arguments) throws IOException {
    Path folder = Path.of(arguments[0]);
    if (arguments[2].equals("write")) {
      write(folder, Long.parseLong(arguments[1]));
    } else {
      read(folder);
    }
  }

  private static void write(Path folder, long count) {
    long before = usedBytes();
    try (Journal journal = Journal.open(folder)) {
      for (long first = 1; first <= count; first += BATCH_ENTRIES) {
        journal.persist(List.of(batch(first, Math.min(count, first + BATCH_ENTRIES - 1))));
      }
      System.out.printf(
          "entries %d, heap of the open journal %d KiB%n",
          count, (usedBytes() - before) / BYTES_PER_KIB);
    }
  }

  private static ReplicationEffect.Persist batch(long first, long last) {
    List<LogEntry> entries =
        LongStream.rangeClosed(first, last)
            .mapToObj(i -> new LogEntry(i, 1, EntryKind.COMMAND, new byte[ENTRY_BYTES]))
            .toList();
    return new ReplicationEffect.Persist(last, Optional.of(HardState.empty()), 0, entries);
  }

  private static void read(Path folder) throws IOException {
    long before = usedBytes();
    long started = System.nanoTime();
    try (Journal journal = Journal.open(folder)) {
      double millis = (System.nanoTime() - started) / NANOS_PER_MILLI;
      int entries = journal.recovered().entries().size();
      long recovered = usedBytes() - before;
      journal.persist(List.of());
      System.out.printf(
          "entries %d, file %d KiB, open %.0f ms, heap recovered %d KiB, after a write %d KiB%n",
          entries,
          Files.size(folder.resolve(JournalFolder.segmentName(JournalFolder.FIRST_SEGMENT)))
              / BYTES_PER_KIB,
          millis,
          recovered / BYTES_PER_KIB,
          (usedBytes() - before) / BYTES_PER_KIB);
    }
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
