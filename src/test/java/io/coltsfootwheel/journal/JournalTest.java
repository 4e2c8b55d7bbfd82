package io.coltsfootwheel.journal;

import static io.coltsfootwheel.journal.JournalSamples.entries;
import static io.coltsfootwheel.journal.JournalSamples.snapshot;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JournalTest {
  private static final String SEGMENT_1 = "log-000000000001";
  private static final String SEGMENT_2 = "log-000000000002";
  private static final int VERSION_BYTES = 4;

  @TempDir private Path folder;

  private void write(ReplicationEffect... effects) {
    try (Journal journal = Journal.open(folder)) {
      for (ReplicationEffect effect : effects) {
        if (effect instanceof ReplicationEffect.Persist persist) {
          journal.persist(List.of(persist));
        } else {
          journal.persistSnapshot((ReplicationEffect.PersistSnapshot) effect);
        }
      }
    }
  }

  private DurableState reopen() {
    try (Journal journal = Journal.open(folder)) {
      return journal.recovered();
    }
  }

  private List<Long> reopenedIndexes() {
    return reopen().entries().stream().map(LogEntry::index).toList();
  }

  private List<String> files() throws IOException {
    try (Stream<Path> paths = Files.list(folder)) {
      return paths.map(p -> p.getFileName().toString()).sorted().toList();
    }
  }

  /** Returns the position of each record, and the end of the last one. */
  private static int[] recordStarts(byte[] file) {
    return IntStream.iterate(VERSION_BYTES, p -> p <= file.length, p -> nextStart(file, p))
        .toArray();
  }

  private static int nextStart(byte[] file, int position) {
    return position == file.length
        ? file.length + 1
        : position + 2 * Integer.BYTES + ByteBuffer.wrap(file).getInt(position);
  }

  /** Guards against loss of synced entries, hard state or disk identity at a restart. */
  @Test
  void restoresPersistedState() {
    write(entries(1, 1, 1), entries(1, 2, 2));
    try (Journal journal = Journal.open(folder)) {
      assertThat(journal.recovered().entries()).extracting(LogEntry::index).containsExactly(1L, 2L);
      assertThat(journal.recovered().hardState().term()).isEqualTo(1);
      assertThat(journal.diskId()).hasSize(32);
    }
  }

  /** Guards against truncated entries that reappear at a restart, with one and two segments. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void restoresTruncatedLog(boolean withSnapshot) {
    ReplicationEffect.Persist replacement =
        new ReplicationEffect.Persist(4, Optional.empty(), 2, entries(3, 2, 2).entries());
    if (withSnapshot) {
      write(entries(1, 1, 3), snapshot(1, 1, false), replacement);
    } else {
      write(entries(1, 1, 3), replacement);
    }
    assertThat(reopen().entries()).extracting(LogEntry::term).containsExactly(1L, 3L);
  }

  /**
   * Guards against a snapshot that loses hard state or retained entries, or deletes no segments.
   */
  @Test
  void deletesSegmentsBeforeRetainedEntries() throws IOException {
    write(entries(7, 1, 4), snapshot(4, 3, false));
    assertThat(files()).contains("snapshot", SEGMENT_1, SEGMENT_2);
    assertThat(reopenedIndexes()).containsExactly(3L, 4L);
    write(entries(7, 5, 8), snapshot(8, 7, false));
    assertThat(files()).doesNotContain(SEGMENT_1).contains(SEGMENT_2);
    DurableState state = reopen();
    assertThat(state.entries()).extracting(LogEntry::index).containsExactly(7L, 8L);
    assertThat(state.snapshot().map(ReplicationSnapshot::index)).contains(8L);
    assertThat(state.hardState().term()).isEqualTo(7);
  }

  /** Guards against entries of a conflicting log that reappear after a snapshot of the leader. */
  @Test
  void replacesLogWithSnapshot() throws IOException {
    write(entries(7, 1, 9), snapshot(5, 6, true), entries(8, 6, 7));
    assertThat(files()).doesNotContain(SEGMENT_1);
    assertThat(reopen().entries()).extracting(LogEntry::term).containsExactly(8L, 8L);
    assertThat(reopen().hardState().term()).isEqualTo(8);
  }

  /**
   * Guards against a restart that fails on, or keeps, a record that a crash cut off at any byte.
   */
  @Test
  void truncatesTornTailOfEveryLength() throws IOException {
    write(entries(1, 1, 1), entries(1, 2, 2));
    Path segment = folder.resolve(SEGMENT_1);
    byte[] bytes = Files.readAllBytes(segment);
    int[] starts = recordStarts(bytes);
    for (int length = starts[2]; length < bytes.length; length++) {
      Files.write(segment, Arrays.copyOf(bytes, length));
      assertThat(reopenedIndexes()).as("length %d", length).containsExactly(1L);
      assertThat(segment).hasSize(starts[2]);
    }
    write(entries(1, 2, 3));
    assertThat(reopenedIndexes()).containsExactly(1L, 2L, 3L);
  }

  /** Guards against reading or silently truncating synced records after damage at any byte. */
  @ParameterizedTest
  @ValueSource(strings = {"snapshot", SEGMENT_1, SEGMENT_2})
  void rejectsDamageBeforeLastRecord(String name) throws IOException {
    write(entries(1, 1, 1), snapshot(1, 1, false), entries(1, 2, 2), entries(1, 3, 3));
    Path file = folder.resolve(name);
    byte[] bytes = Files.readAllBytes(file);
    int[] starts = recordStarts(bytes);
    int end = name.equals(SEGMENT_2) ? starts[starts.length - 2] : bytes.length;
    for (int position = VERSION_BYTES; position < end; position++) {
      byte[] damaged = bytes.clone();
      damaged[position] ^= 64;
      Files.write(file, damaged);
      int damagedPosition = position;
      int recordStart = Arrays.stream(starts).filter(s -> s <= damagedPosition).max().getAsInt();
      assertThatThrownBy(() -> Journal.open(folder))
          .isInstanceOf(ColtsfootwheelException.class)
          .hasMessageContaining(name + " is damaged at byte " + recordStart)
          .hasMessageContaining("journal-corrupt");
    }
  }

  /** Guards against a start without a segment, which would lose the hard state in it. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void rejectsMissingSegment(boolean withSnapshot) throws IOException {
    write(entries(1, 1, 1));
    if (withSnapshot) {
      write(snapshot(1, 1, false));
    }
    Files.delete(folder.resolve(SEGMENT_1));
    assertThatThrownBy(() -> Journal.open(folder)).hasMessageContaining(SEGMENT_1 + " is damaged");
  }

  /**
   * Guards against a new disk identity for an existing log, and against a folder that cannot be
   * opened after a crash during its creation.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void createsIdentityForEmptyLogOnly(boolean hasEntries) throws IOException {
    write(hasEntries ? new ReplicationEffect[] {entries(1, 1, 1)} : new ReplicationEffect[0]);
    Files.delete(folder.resolve("disk-id"));
    if (hasEntries) {
      assertThatThrownBy(() -> Journal.open(folder)).hasMessageContaining("disk-id is missing");
    } else {
      assertThat(reopenedIndexes()).isEmpty();
    }
  }

  /** Guards against reading a file of another format version. */
  @ParameterizedTest
  @CsvSource({
    "snapshot, 0, journal-corrupt",
    "snapshot, 3, unsupported-version",
    SEGMENT_1 + ", 0, journal-corrupt",
    SEGMENT_1 + ", 1, journal-corrupt",
    SEGMENT_1 + ", 9, unsupported-version"
  })
  void rejectsOtherVersions(String name, int version, String errorCode) throws IOException {
    write(entries(1, 1, 1), snapshot(1, 1, false));
    byte[] bytes = Files.readAllBytes(folder.resolve(name));
    Files.write(folder.resolve(name), ByteBuffer.wrap(bytes).putInt(0, version).array());
    assertThatThrownBy(() -> Journal.open(folder))
        .hasMessageContaining(name)
        .hasMessageContaining("format version " + version)
        .hasMessageContaining(errorCode);
  }

  /** Guards against an upgrade that loses a journal of format version 1. */
  @Test
  void convertsFormatVersionOne() throws IOException {
    write();
    Files.delete(folder.resolve(SEGMENT_1));
    DurableState state =
        new DurableState(
            new HardState(6, Optional.empty(), Optional.empty()),
            Optional.of(JournalSamples.snapshot(2)),
            entries(6, 2, 3).entries());
    byte[] firstRecord = RecordFormat.record(ControlCodec.encode(state));
    byte[] secondRecord = RecordFormat.record(ControlCodec.encode(entries(6, 4, 4)));
    ByteBuffer file = ByteBuffer.allocate(VERSION_BYTES + firstRecord.length + secondRecord.length);
    Files.write(
        folder.resolve("segment"), file.putInt(1).put(firstRecord).put(secondRecord).array());
    assertThat(reopenedIndexes()).containsExactly(2L, 3L, 4L);
    assertThat(files()).contains("snapshot", SEGMENT_1).doesNotContain("segment");
    assertThat(reopen().hardState().term()).isEqualTo(6);
    assertThat(reopen().snapshot().map(ReplicationSnapshot::index)).contains(2L);
  }

  /** Guards against an open journal that keeps the recovered log in memory. */
  @Test
  void releasesRecoveredState() {
    try (Journal journal = Journal.open(folder)) {
      journal.persist(List.of(entries(1, 1, 1)));
      assertThatThrownBy(journal::recovered).isInstanceOf(IllegalStateException.class);
    }
  }

  /** Guards against two processes that write to the same journal. */
  @Test
  void rejectsSecondOpen() {
    try (Journal journal = Journal.open(folder)) {
      assertThat(journal.diskId()).isNotEmpty();
      assertThatThrownBy(() -> Journal.open(folder)).hasMessageContaining("locked");
    }
  }
}
