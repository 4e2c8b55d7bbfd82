package io.coltsfootwheel.journal;

import static io.coltsfootwheel.journal.JournalSamples.entries;
import static io.coltsfootwheel.journal.JournalSamples.snapshot;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JournalFailureTest {
  @TempDir private Path folder;

  private String failing = "";
  private int callsBeforeFailure;

  private <T> T failing(Class<T> type, T target) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              if (method.getName().equals(failing) && callsBeforeFailure-- == 0) {
                writeHalf(target, arguments);
                throw new IOException("injected");
              }
              try {
                Object result = method.invoke(target, arguments);
                return result instanceof FileAccess.AppendFile file
                    ? failing(FileAccess.AppendFile.class, file)
                    : result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            }));
  }

  /** A write to a full disk stores what still fits. */
  private static void writeHalf(Object target, Object[] arguments) throws IOException {
    if (target instanceof FileAccess.AppendFile file
        && arguments != null
        && arguments[0] instanceof ByteBuffer bytes) {
      file.write(bytes.slice(0, bytes.remaining() / 2));
    }
  }

  private Journal open() {
    return Journal.open(folder, failing(FileAccess.class, FileAccess.system()));
  }

  /**
   * Guards against an acknowledgement, or a later write, after a write or sync has failed, and
   * against a folder that cannot be opened after a disk was full.
   */
  @ParameterizedTest
  @ValueSource(strings = {"write", "sync"})
  void refusesEverythingAfterFailure(String operation) {
    try (Journal journal = open()) {
      journal.persist(List.of(entries(1, 1, 1)));
      failing = operation;
      assertThatThrownBy(() -> journal.persist(List.of(entries(1, 2, 2))))
          .hasMessageContaining("injected");
      failing = "";
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
   * Guards against a snapshot that fails half-way and takes promises or entries with it: the folder
   * holds the earlier snapshot or the new one, and the log that belongs to it. The first call of an
   * operation belongs to the new segment, the second to the snapshot file.
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
  void keepsLogWhenSnapshotFails(String operation, int earlierCalls, long snapshotIndex) {
    for (boolean replaces : new boolean[] {false, true}) {
      long base = replaces ? 10 : 0;
      try (Journal journal = open()) {
        journal.persist(List.of(entries(4, base + 1, base + 5)));
        journal.persistSnapshot(snapshot(base + 2, base + 1, false));
        failing = operation;
        callsBeforeFailure = earlierCalls;
        assertThatThrownBy(() -> journal.persistSnapshot(snapshot(base + 5, base + 6, replaces)))
            .hasMessageContaining("injected");
        failing = "";
        assertThatThrownBy(() -> journal.persist(List.of(entries(4, base + 6, base + 6))))
            .hasMessageContaining("journal-failed");
      }
      try (Journal journal = open()) {
        DurableState state = journal.recovered();
        assertThat(state.hardState().term()).isEqualTo(4);
        assertThat(state.snapshot().map(ReplicationSnapshot::index)).contains(base + snapshotIndex);
        assertThat(state.entries()).hasSize(snapshotIndex == 5 ? 0 : 5);
        journal.persistSnapshot(snapshot(base + 10, base + 11, true));
      }
    }
  }
}
