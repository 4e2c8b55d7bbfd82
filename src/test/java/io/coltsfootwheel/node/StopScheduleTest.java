package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StopScheduleTest {
  /**
   * Guards against a time limit that cuts requests on which targets work until five sixths of the
   * grace period, and against one that leaves no time before the process is killed.
   */
  @ParameterizedTest
  @ValueSource(longs = {600, 2_000, 3_000, 6_000, 30_000})
  void drainEndsBetweenFiveSixthsAndTheEndOfTheGracePeriod(long graceMillis) {
    StopSchedule schedule = StopSchedule.of(graceMillis);
    assertThat(schedule.noticeMillis()).isPositive();
    assertThat(schedule.noticeMillis() + schedule.drainMillis())
        .isGreaterThan(graceMillis * 5 / 6)
        .isLessThan(graceMillis);
  }
}
