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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SettingsWatcherTest {
  /** Beginning of the odd files from which the valid seed 10.0.0.2 has to be read. */
  private static final String READABLE = "# readable\n";

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

  /**
   * Guards against an odd file that ends the periodic reload, replaces the seeds by none, or hides
   * the valid seeds beside an odd one.
   */
  @ParameterizedTest
  @MethodSource("oddFiles")
  void oddFileKeepsTheValidSeedsAndTheReload(String content) throws Exception {
    Path file = folder.resolve("local.toml");
    List<List<InstanceId>> appliedSeeds = new ArrayList<>();
    List<InstanceId> before = List.of(InstanceId.of("10.0.0.1"));
    SettingsWatcher watcher =
        new SettingsWatcher(file, before, new EventLog(line -> {}, Map.of()), appliedSeeds::add);
    Files.writeString(file, content);
    watcher.reload();
    if (content.startsWith(READABLE)) {
      assertThat(appliedSeeds).containsExactly(List.of(InstanceId.of("10.0.0.2")));
    } else {
      assertThat(appliedSeeds).isEmpty();
    }
    Files.writeString(file, "seeds = [\"10.0.0.3:80\"]\n");
    watcher.reload();
    assertThat(appliedSeeds).endsWith(List.of(InstanceId.of("10.0.0.3")));
  }

  private static List<String> oddFiles() {
    String deep = "[".repeat(100_000);
    return List.of(
        "",
        "seeds = []\n",
        "seeds = 5\n",
        "seeds = [5, 1e999, {a = 1}]\n",
        READABLE + "seeds = [\"host.invalid:80\", \"10.0.0.2:80\"]\n",
        READABLE + "seeds = [\"10.0.0.2:80\", \"10.0.0.4:99999\"]\n",
        READABLE
            + "seeds = [\"10.0.0.2:80\", \"10.0.0.4:0\", \"10.0.0.4:-1\", \"\", \":80\", \"[::1]:80\"]\n",
        "seeds = [\"10.0.0.2:80\", " + deep + "]".repeat(100_000) + "]\n",
        "seeds = " + deep + "\n",
        "seeds = [\"10.0.0.2:80\"]\nx = " + "{a = ".repeat(100_000) + "\n",
        READABLE + "seeds = [\"10.0.0.2:80\"]\nx = 1e999\n",
        "seeds = [\"10.0.0.2:80\"]\nx = " + "9".repeat(100_000) + "\n",
        READABLE + "seeds = [\"10.0.0.2:80\"]\nbounds = [5, [\"a=b\"], \"graceS=1e999\", \"=\"]\n");
  }

  /** Guards against a consumer of the seeds whose exception ends the periodic reload. */
  @Test
  void reloadContinuesAfterAFailureOfTheConsumer() throws IOException {
    Path file = folder.resolve("local.toml");
    List<List<InstanceId>> appliedSeeds = new ArrayList<>();
    SettingsWatcher watcher =
        new SettingsWatcher(
            file,
            List.of(),
            new EventLog(line -> {}, Map.of()),
            seeds -> {
              appliedSeeds.add(seeds);
              if (appliedSeeds.size() == 1) {
                throw new IllegalStateException("test");
              }
            });
    Files.writeString(file, "seeds = [\"10.0.0.1:80\"]\n");
    watcher.reload();
    watcher.reload();
    assertThat(appliedSeeds).hasSize(2);
  }
}
