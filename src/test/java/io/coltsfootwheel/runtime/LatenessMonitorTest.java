package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LatenessMonitorTest {
  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against a thread whose events wait for long without a line in the log. */
  @ParameterizedTest
  @CsvSource({"99, false", "100, true", "1200, true"})
  void longestDelayOfAnIntervalIsReportedOnce(long delayMillis, boolean isReported) {
    LatenessMonitor monitor = new LatenessMonitor(0);
    assertThat(monitor.record(nanos(1_500), nanos(1_500 - delayMillis)).isPresent())
        .isEqualTo(isReported);
    assertThat(monitor.record(nanos(2_600), nanos(2_600))).isEqualTo(OptionalLong.empty());
  }
}
