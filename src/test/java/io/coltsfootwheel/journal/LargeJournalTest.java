package io.coltsfootwheel.journal;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.EntryKind;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
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
}
