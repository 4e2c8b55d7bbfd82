package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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

  /**
   * Guards against a loop that silently processes no event any more, because an error such as a
   * stack overflow left its queue marked as being processed.
   */
  @Test
  void errorOfTheReducerIsReportedAndLaterEventsAreProcessed() throws InterruptedException {
    CountDownLatch failures = new CountDownLatch(1);
    CountDownLatch processed = new CountDownLatch(1);
    DecisionLoop<Long, String> loop =
        new DecisionLoop<>(
            event -> {
              if (event == 1L) {
                throw new StackOverflowError();
              }
              processed.countDown();
              return List.of();
            },
            nowNanos -> nowNanos,
            10,
            effect -> {},
            failures::countDown);
    loop.post(1L);
    loop.post(2L);
    assertThat(failures.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(processed.await(10, TimeUnit.SECONDS)).isTrue();
    loop.close();
  }
}
