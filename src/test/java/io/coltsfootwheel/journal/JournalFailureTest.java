package io.coltsfootwheel.journal;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.consensus.ReplicationEffect;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JournalFailureTest {
  @TempDir private Path folder;

  private String failing = "";

  private <T> T failing(Class<T> type, T target) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              if (method.getName().equals(failing)) {
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

  /** Guards against an acknowledgement, or a later write, after a write or sync has failed. */
  @ParameterizedTest
  @ValueSource(strings = {"write", "sync"})
  void refusesEverythingAfterFailure(String operation) {
    ReplicationEffect.Persist effect =
        new ReplicationEffect.Persist(1, Optional.empty(), 0, List.of());
    try (Journal journal = Journal.open(folder, failing(FileAccess.class, FileAccess.system()))) {
      failing = operation;
      assertThatThrownBy(() -> journal.persist(List.of(effect))).hasMessageContaining("injected");
      failing = "";
      assertThatThrownBy(() -> journal.persist(List.of(effect)))
          .hasMessageContaining("journal-failed");
    }
  }
}
