package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformSettingsTest {
  @TempDir private Path folder;

  /** Guards against a group that replaces its members later than the platform's bound asks. */
  @ParameterizedTest
  @CsvSource({"catchUpS=4, 4000", "catchUpS=2.5, 2500", "graceS=6, 4000"})
  void catchUpTimeFollowsTheBounds(String bound, long catchUpMillis) throws IOException {
    Path file = folder.resolve("settings.toml");
    Files.writeString(
        file,
        """
        ip = "127.0.0.1"
        internalPortRange = [7660, 7675]
        dataDir = "data"
        bounds = ["%s"]
        """
            .formatted(bound));
    assertThat(PlatformSettings.read(file).control().catchUpMillis()).isEqualTo(catchUpMillis);
  }
}
