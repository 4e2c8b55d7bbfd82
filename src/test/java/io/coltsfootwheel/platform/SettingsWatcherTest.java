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

class SettingsWatcherTest {
  @TempDir private Path folder;

  /**
   * Guards against a process that ignores new seeds, or that fails on a malformed or missing file.
   */
  @Test
  void validFileIsAppliedAndMalformedOneIsIgnored() throws IOException {
    Path file = folder.resolve("local.toml");
    List<List<InstanceId>> appliedSeeds = new ArrayList<>();
    SettingsWatcher watcher =
        new SettingsWatcher(file, List.of(), new EventLog(line -> {}, Map.of()), appliedSeeds::add);
    Files.writeString(file, "seeds = [\"10.0.0.1:80\"]\n");
    watcher.reload();
    Files.writeString(file, "seeds = [\"10.0.0.2:8");
    watcher.reload();
    Files.writeString(file, "seeds = [\"nowhere\"]\n");
    watcher.reload();
    Files.delete(file);
    watcher.reload();
    Files.writeString(file, "seeds = [\"10.0.0.3:80\"]\n");
    watcher.reload();
    assertThat(appliedSeeds)
        .containsExactly(List.of(InstanceId.of("10.0.0.1")), List.of(InstanceId.of("10.0.0.3")));
  }
}
