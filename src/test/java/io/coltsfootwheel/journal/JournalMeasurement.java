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
 * Measures how long opening a journal takes and how much heap it uses. Arguments: folder, number of
 * entries, and "write" to fill the folder, or "read" to open it in a separate process.
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
    long usedBefore = usedHeapBytes();
    try (Journal journal = Journal.open(folder)) {
      for (long first = 1; first <= count; first += BATCH_ENTRIES) {
        journal.persist(List.of(batch(first, Math.min(count, first + BATCH_ENTRIES - 1))));
      }
      System.out.printf(
          "entries %d, heap of the open journal %d KiB%n",
          count, (usedHeapBytes() - usedBefore) / BYTES_PER_KIB);
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
    long usedBefore = usedHeapBytes();
    long startNanos = System.nanoTime();
    try (Journal journal = Journal.open(folder)) {
      double openMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      int entries = journal.recovered().entries().size();
      long recoveredBytes = usedHeapBytes() - usedBefore;
      journal.persist(List.of());
      System.out.printf(
          "entries %d, file %d KiB, open %.0f ms, heap recovered %d KiB, after a write %d KiB%n",
          entries,
          Files.size(folder.resolve(JournalFolder.segmentName(JournalFolder.FIRST_SEGMENT)))
              / BYTES_PER_KIB,
          openMillis,
          recoveredBytes / BYTES_PER_KIB,
          (usedHeapBytes() - usedBefore) / BYTES_PER_KIB);
    }
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
