package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** {@code bin/planned-stop-run --seed 3} runs the same series by hand, and longer ones. */
class PlannedStopTest {
  private static final long SEED = 3;
  private static final int SECONDS = 6;

  @TempDir private Path folder;

  /**
   * Guards against requests that are lost, run twice or are reported as not run although they ran,
   * when daemons get SIGTERM one after the other and at the same time.
   */
  @Test
  @Timeout(120)
  void plannedStopsLoseNoRequest() throws Exception {
    PlannedStopRun.Report report =
        new PlannedStopRun(Path.of("").toAbsolutePath(), folder, SEED, SECONDS).run();
    assertThat(report.stops()).isPositive();
    assertThat(report.requests()).containsKey(CallRecord.Result.ANSWERED);
    assertThat(report.violations()).isEmpty();
  }
}
