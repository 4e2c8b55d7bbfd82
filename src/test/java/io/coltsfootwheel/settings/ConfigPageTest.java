package io.coltsfootwheel.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that docs/CONFIG.md and the code agree on each setting, unit, default and bound. */
class ConfigPageTest {
  @Test
  void pageListsEverySettingWithItsValues() throws IOException {
    List<String> documented =
        Files.readAllLines(Path.of("docs/CONFIG.md")).stream()
            .filter(line -> line.startsWith("| `"))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2)).strip())
            .toList();
    assertThat(documented)
        .containsExactlyInAnyOrderElementsOf(
            Arrays.stream(Setting.values()).map(ConfigPageTest::row).toList());
  }

  private static String row(Setting setting) {
    return "| `%s` | %s | %s | %s"
        .formatted(setting.path(), setting.unit(), setting.defaultText(), setting.boundsText());
  }
}
