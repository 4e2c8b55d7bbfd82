package io.coltsfootwheel.journal;

import static io.coltsfootwheel.journal.JournalSamples.entries;
import static io.coltsfootwheel.journal.JournalSamples.snapshot;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JournalFailureTest {
  @TempDir private Path folder;

  private String failingOperation = "";
  private int callsBeforeFailure;

  private Optional<String> failure(String operation) {
    boolean fails = operation.equals(failingOperation) && callsBeforeFailure-- == 0;
    return fails ? Optional.of("injected") : Optional.empty();
  }

  private Journal open() {
    return Journal.open(folder, FaultyFileAccess.of(this::failure));
  }

  /**
   * Guards against accepting writes after a write or sync has failed, and against a folder that
   * cannot be opened after the disk was full.
   */
  @ParameterizedTest
  @ValueSource(strings = {"write", "sync"})
  void rejectsWritesAfterFailure(String operation) {
    try (Journal journal = open()) {
      journal.persist(List.of(entries(1, 1, 1)));
      failingOperation = operation;
      assertThatThrownBy(() -> journal.persist(List.of(entries(1, 2, 2))))
          .hasMessageContaining("injected");
      failingOperation = "";
      assertThatThrownBy(() -> journal.persist(List.of(entries(1, 2, 2))))
          .hasMessageContaining("journal-failed");
      assertThatThrownBy(() -> journal.persistSnapshot(snapshot(1, 2, false)))
          .hasMessageContaining("journal-failed");
    }
    try (Journal journal = open()) {
      assertThat(journal.recovered().entries()).extracting(LogEntry::index).startsWith(1L);
      assertThat(journal.recovered().hardState().term()).isEqualTo(1);
    }
  }

  /**
   * Guards against loss of the hard state or of entries when writing a snapshot fails half-way. The
   * folder must contain either the earlier or the new snapshot, with the matching log. The first
   * call of an operation is for the new segment, the second for the snapshot file.
   */
  @ParameterizedTest
  @CsvSource({
    "write, 0, 2",
    "write, 1, 2",
    "sync, 0, 2",
    "sync, 1, 2",
    "rename, 0, 2",
    "rename, 1, 2",
    "syncFolder, 0, 2",
    "syncFolder, 1, 5",
    "delete, 0, 5"
  })
  void keepsLogWhenSnapshotFails(String operation, int callsBefore, long snapshotIndex) {
    for (boolean replacesLog : new boolean[] {false, true}) {
      long baseIndex = replacesLog ? 10 : 0;
      try (Journal journal = open()) {
        journal.persist(List.of(entries(4, baseIndex + 1, baseIndex + 5)));
        journal.persistSnapshot(snapshot(baseIndex + 2, baseIndex + 1, false));
        failingOperation = operation;
        callsBeforeFailure = callsBefore;
        assertThatThrownBy(
                () -> journal.persistSnapshot(snapshot(baseIndex + 5, baseIndex + 6, replacesLog)))
            .hasMessageContaining("injected");
        failingOperation = "";
        assertThatThrownBy(() -> journal.persist(List.of(entries(4, baseIndex + 6, baseIndex + 6))))
            .hasMessageContaining("journal-failed");
      }
      try (Journal journal = open()) {
        DurableState state = journal.recovered();
        assertThat(state.hardState().term()).isEqualTo(4);
        assertThat(state.snapshot().map(ReplicationSnapshot::index))
            .contains(baseIndex + snapshotIndex);
        assertThat(state.entries()).hasSize(snapshotIndex == 5 ? 0 : 5);
        journal.persistSnapshot(snapshot(baseIndex + 10, baseIndex + 11, true));
      }
    }
  }
}
