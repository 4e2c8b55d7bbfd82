package io.coltsfootwheel.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetNoticesTest {
  private final TargetNotices notices = new TargetNotices();

  private static long nanos(long millis) {
    return Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(5) + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against a shorter pause that ends a longer one, in either order of arrival. */
  @ParameterizedTest
  @CsvSource({"10000, 500", "500, 10000", "10000, 0"})
  void longestPauseCounts(long firstMillis, long secondMillis) {
    notices.recordPause(nanos(0), firstMillis);
    notices.recordPause(nanos(100), secondMillis);
    assertThat(notices.remainingPauseMillis(nanos(9_000))).isPositive();
    assertThat(notices.remainingPauseMillis(nanos(10_100))).isZero();
  }

  /** Guards against a pause that goes on after its end, also where the clock overflows. */
  @ParameterizedTest
  @CsvSource({"0, 2000", "1999, 1", "2000, 0", "9000, 0"})
  void pauseEnds(long atMillis, long remainingMillis) {
    notices.recordPause(nanos(0), 2_000);
    assertThat(notices.remainingPauseMillis(nanos(atMillis)))
        .isBetween(remainingMillis, remainingMillis + 1);
  }

  /** Guards against a drain time that begins anew with each answer of a leaving target. */
  @Test
  void firstNoticeOfLeavingCounts() {
    assertThat(notices.recordLeaving(nanos(0))).isTrue();
    assertThat(notices.recordLeaving(nanos(900))).isFalse();
    assertThat(notices.isLeavingFor(nanos(999), 1_000)).isFalse();
    assertThat(notices.isLeavingFor(nanos(1_000), 1_000)).isTrue();
  }
}
