package io.coltsfootwheel.journal;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.EntryKind;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Memory that opening a journal takes, in a process with the memory that the deploy file grants.
 */
class LargeJournalTest {
  private static final int ENTRY_BYTES = 112 * 1024;

  @TempDir private Path folder;

  private void write(int entries) {
    try (Journal journal = Journal.open(folder)) {
      for (int index = 1; index <= entries; index++) {
        LogEntry entry = new LogEntry(index, 1, EntryKind.COMMAND, new byte[ENTRY_BYTES]);
        journal.persist(
            List.of(new ReplicationEffect.Persist(index, Optional.empty(), 0, List.of(entry))));
      }
    }
  }

  private String open() throws IOException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:MaxDirectMemorySize=32m",
                "-cp",
                System.getProperty("java.class.path"),
                JournalOpening.class.getName(),
                folder.toString())
            .redirectErrorStream(true)
            .start();
    return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Guards against a process that runs out of memory at each start on a journal of few records. */
  @ParameterizedTest
  @CsvSource({"50", "270", "400"})
  void journalIsOpenedOneRecordAtATime(int entries) throws IOException {
    write(entries);
    assertThat(open()).contains("entries " + entries);
  }

  /**
   * Guards against a process that runs out of memory at each start on one huge record: earlier
   * versions wrote all that waited for a slow disk into one. A crash may have torn it.
   */
  @ParameterizedTest
  @CsvSource({"300,false,301", "400,false,401", "300,true,1", "400,true,1"})
  void hugeRecordIsNotKeptInMemory(int entries, boolean isTorn, int readEntries)
      throws IOException {
    Random random = new Random(1);
    try (Journal journal = Journal.open(folder)) {
      journal.persist(List.of(persist(1, List.of(entry(1, random)))));
      List<LogEntry> huge = new ArrayList<>();
      for (int index = 2; index <= entries + 1; index++) {
        huge.add(entry(index, random));
      }
      journal.persist(List.of(persist(2, huge)));
    }
    Path segment = folder.resolve("log-000000000001");
    if (isTorn) {
      try (FileChannel channel = FileChannel.open(segment, StandardOpenOption.WRITE)) {
        channel.truncate(channel.size() - 1);
      }
    }
    assertThat(open()).contains("entries " + readEntries);
  }

  private static LogEntry entry(int index, Random random) {
    byte[] bytes = new byte[ENTRY_BYTES];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) (' ' + random.nextInt(90));
    }
    return new LogEntry(index, 1, EntryKind.COMMAND, bytes);
  }

  private static ReplicationEffect.Persist persist(long sequence, List<LogEntry> entries) {
    return new ReplicationEffect.Persist(sequence, Optional.empty(), 0, entries);
  }
}
