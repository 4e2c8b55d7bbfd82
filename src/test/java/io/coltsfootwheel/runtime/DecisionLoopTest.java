package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

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

  /** What fails on the first event. */
  private enum Failure {
    ERROR_OF_REDUCER {
      @Override
      void beforeDecision(long event) {
        if (event == 1) {
          throw new StackOverflowError();
        }
      }
    },
    EXCEPTION_OF_DRIVER {
      @Override
      void beforeEffect(String effect) {
        if (effect.equals("effect 1")) {
          throw new IllegalStateException("for the test");
        }
      }
    };

    void beforeDecision(long event) {}

    void beforeEffect(String effect) {}
  }

  /**
   * Guards against a loop that fails silently, because an error such as a stack overflow left its
   * queue marked as being processed, and against one that goes on with half of a decision: a member
   * whose write was lost on the way to the journal confirmed the next one, and with it the first.
   */
  @ParameterizedTest
  @EnumSource
  void failureIsReportedAndNothingIsDecidedAfterIt(Failure failure) {
    AtomicInteger failures = new AtomicInteger();
    List<String> executed = new CopyOnWriteArrayList<>();
    DecisionLoop<Long, String> loop =
        new DecisionLoop<>(
            event -> {
              failure.beforeDecision(event);
              return List.of("effect " + event, "effect after " + event);
            },
            nowNanos -> nowNanos,
            10,
            effect -> {
              failure.beforeEffect(effect);
              executed.add(effect);
            },
            failures::incrementAndGet);
    loop.post(1L);
    loop.post(2L);
    assertThat(loop.query(failures::get).block(Duration.ofSeconds(10))).isEqualTo(1);
    assertThat(executed).isEmpty();
    loop.close();
  }
}
