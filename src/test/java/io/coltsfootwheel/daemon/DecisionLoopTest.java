package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThatCode;

import org.junit.jupiter.api.Test;

class DecisionLoopTest {
  /** Late answers threw "Scheduler unavailable" into the log of each graceful shutdown. */
  @Test
  void eventAfterCloseIsDropped() {
    DecisionLoop loop = new DecisionLoop(null, effect -> {}, () -> {});
    loop.close();
    assertThatCode(() -> loop.post(new InstanceEvent.Tick(1))).doesNotThrowAnyException();
  }
}
