package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLoopTest {
  /** Late answers threw "Scheduler unavailable" into the log of each graceful shutdown. */
  @Test
  void eventAfterCloseIsDropped() {
    DecisionLoop<Long, String> loop =
        new DecisionLoop<>(event -> List.of(), nowNanos -> nowNanos, 10, effect -> {}, () -> {});
    loop.close();
    assertThatCode(() -> loop.post(1L)).doesNotThrowAnyException();
  }
}
