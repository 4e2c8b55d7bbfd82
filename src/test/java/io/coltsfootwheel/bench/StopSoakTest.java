package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StopSoakTest {
  private static final int SECONDS = 12;

  /** Guards against requests that are lost when processes stop, reload or are reconfigured. */
  @Test
  void plannedWorkLosesNoRequest(@TempDir Path folder) throws Exception {
    try (StopSoak soak = new StopSoak(1, folder)) {
      StopSoak.Result result = soak.run(SECONDS);
      assertThat(result.violations()).as(result.summary()).isEmpty();
    }
  }
}
