package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessSignalsTest {
  /**
   * Guards against a process that stops too late because the time in which it still started, or a
   * repeated SIGTERM, does not count against its grace period (bin/stop-soak --seed 5).
   */
  @Test
  void graceCountsFromTheFirstRequestToStop() throws InterruptedException {
    ProcessSignals signals = new ProcessSignals();
    signals.requestStop();
    TimeUnit.MILLISECONDS.sleep(50);
    signals.requestStop();
    signals.awaitStop();
    assertThat(signals.millisSinceStopRequest()).isGreaterThanOrEqualTo(50);
  }
}
