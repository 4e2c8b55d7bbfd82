package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.model.InstanceId;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsWatchTest {
  @TempDir private Path folder;

  /** Guards against a process that ignores new seeds, or that ends when the file is damaged. */
  @Test
  void readableFileIsTakenAndDamagedOneChangesNothing() throws IOException {
    Path file = folder.resolve("local.toml");
    List<List<InstanceId>> taken = new ArrayList<>();
    SettingsWatch watch =
        new SettingsWatch(file, List.of(), new EventLog(line -> {}, Map.of()), taken::add);
    Files.writeString(file, "seeds = [\"10.0.0.1:80\"]\n");
    watch.reload();
    Files.writeString(file, "seeds = [\"10.0.0.2:8");
    watch.reload();
    Files.writeString(file, "seeds = [\"nowhere\"]\n");
    watch.reload();
    Files.delete(file);
    watch.reload();
    Files.writeString(file, "seeds = [\"10.0.0.3:80\"]\n");
    watch.reload();
    assertThat(taken)
        .containsExactly(List.of(InstanceId.of("10.0.0.1")), List.of(InstanceId.of("10.0.0.3")));
  }
}
