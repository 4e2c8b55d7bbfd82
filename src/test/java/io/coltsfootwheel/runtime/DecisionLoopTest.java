package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
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
        new DecisionLoop<>(
            event -> List.of(), nowNanos -> nowNanos, 10, effect -> {}, (eventType, failure) -> {});
    loop.close();
    assertThatCode(() -> loop.post(1L)).doesNotThrowAnyException();
  }

  /** What fails on the first event. */
  private enum Failure {
    ERROR_OF_REDUCER(new StackOverflowError()) {
      @Override
      void beforeDecision(long event) {
        if (event == 1) {
          throw (Error) expected;
        }
      }
    },
    EXCEPTION_OF_DRIVER(new IllegalStateException("for the test")) {
      @Override
      void beforeEffect(String effect) {
        if (effect.equals("effect 1")) {
          throw (RuntimeException) expected;
        }
      }
    };

    final Throwable expected;

    Failure(Throwable expected) {
      this.expected = expected;
    }

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
    List<String> failures = new CopyOnWriteArrayList<>();
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
            (eventType, error) -> failures.add(eventType.getSimpleName() + " " + error));
    loop.post(1L);
    loop.post(2L);
    assertThat(loop.query(() -> List.copyOf(failures)).block(Duration.ofSeconds(10)))
        .containsExactly("Long " + failure.expected);
    assertThat(executed).isEmpty();
    loop.close();
  }
}
