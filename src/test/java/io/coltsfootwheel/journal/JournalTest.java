package io.coltsfootwheel.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.consensus.EntryKind;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.model.ColtsfootwheelException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JournalTest {
  @TempDir private Path folder;

  private static ReplicationEffect.Persist entry(long index) {
    LogEntry entry = new LogEntry(index, 1, EntryKind.COMMAND, new byte[] {1, 2, 3});
    HardState state = new HardState(1, Optional.empty(), Optional.empty());
    return new ReplicationEffect.Persist(index, Optional.of(state), 0, List.of(entry));
  }

  private void writeTwo() {
    try (Journal journal = Journal.open(folder)) {
      journal.persist(List.of(entry(1), entry(2)));
    }
  }

  /** Guards against loss of synced entries, promises or the disk identity at a restart. */
  @Test
  void restoresWhatWasPersisted() {
    writeTwo();
    try (Journal journal = Journal.open(folder)) {
      assertThat(journal.recovered().entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
      assertThat(journal.recovered().hardState().term()).isEqualTo(1);
      assertThat(journal.diskId()).hasSize(32);
    }
  }

  /** Guards against a start that fails on, or keeps, a record cut by a crash. */
  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20})
  void cutsTornTail(int lostBytes) throws Exception {
    writeTwo();
    Path segment = folder.resolve("segment");
    byte[] bytes = Files.readAllBytes(segment);
    Files.write(segment, Arrays.copyOf(bytes, bytes.length - lostBytes));
    try (Journal journal = Journal.open(folder)) {
      assertThat(journal.recovered().entries()).extracting(LogEntry::index).containsExactly(1L);
    }
  }

  /** Guards against silent use of a damaged record. */
  @Test
  void refusesDamage() throws Exception {
    writeTwo();
    Path segment = folder.resolve("segment");
    byte[] bytes = Files.readAllBytes(segment);
    bytes[14] ^= 1;
    Files.write(segment, bytes);
    assertThatThrownBy(() -> Journal.open(folder))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageContaining("segment is damaged at byte 4")
        .hasMessageContaining("journal-corrupt");
  }

  /** Guards against cutting synced records when a length before the tail is damaged. */
  @Test
  void refusesDamagedLength() throws Exception {
    long firstRecordEnd;
    try (Journal journal = Journal.open(folder)) {
      firstRecordEnd = Files.size(folder.resolve("segment"));
      journal.persist(List.of(entry(1), entry(2)));
    }
    Path segment = folder.resolve("segment");
    byte[] bytes = Files.readAllBytes(segment);
    bytes[(int) firstRecordEnd] = 127;
    Files.write(segment, bytes);
    assertThatThrownBy(() -> Journal.open(folder))
        .hasMessageContaining("damaged at byte " + firstRecordEnd);
  }

  /** Guards against misreading the format of a newer version. */
  @Test
  void refusesNewerVersion() throws Exception {
    writeTwo();
    Path segment = folder.resolve("segment");
    byte[] bytes = Files.readAllBytes(segment);
    bytes[3] = 9;
    Files.write(segment, bytes);
    assertThatThrownBy(() -> Journal.open(folder)).hasMessageContaining("format version 9");
  }

  /** Guards against two processes that write one journal. */
  @Test
  void refusesSecondOpen() {
    try (Journal journal = Journal.open(folder)) {
      assertThat(journal.diskId()).isNotEmpty();
      assertThatThrownBy(() -> Journal.open(folder)).hasMessageContaining("locked");
    }
  }
}
