package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLoopTest {
  /**
   * Guards against "Scheduler unavailable" in the log at a graceful shutdown, when responses arrive
   * after the loop was closed.
   */
  @Test
  void dropsEventsAfterClose() {
    DecisionLoop<Long, String> loop =
        new DecisionLoop<>(event -> List.of(), nowNanos -> nowNanos, 10, effect -> {}, () -> {});
    loop.close();
    assertThatCode(() -> loop.post(1L)).doesNotThrowAnyException();
  }
}
