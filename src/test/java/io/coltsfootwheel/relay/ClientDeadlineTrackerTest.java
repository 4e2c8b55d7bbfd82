package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientDeadlineTrackerTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ClientDeadlineTracker deadlines = new ClientDeadlineTracker();

  /** Guards against a retry that is treated as a first attempt. */
  @Test
  void shorterDeadlineIsRecognisedAsRetry() {
    assertThat(deadlines.waitedMillis(0, "r", OptionalLong.of(1_000))).isZero();
    assertThat(deadlines.waitedMillis(1, "r", OptionalLong.of(725))).isEqualTo(200);
    assertThat(deadlines.waitedMillis(1, "other", OptionalLong.of(725))).isZero();
  }

  /** Guards against first attempts that are treated as retries because deadlines vary slightly. */
  @ParameterizedTest
  @ValueSource(longs = {850, 900, 1_000, 1_100})
  void similarDeadlinesAreFirstAttempts(long deadlineMillis) {
    deadlines.waitedMillis(0, "r", OptionalLong.of(1_000));
    assertThat(deadlines.waitedMillis(1, "r", OptionalLong.of(deadlineMillis))).isZero();
  }

  /** Guards against the timeout of a route that is taken as the deadline of its clients. */
  @Test
  void requestWithoutDeadlineIsIgnored() {
    assertThat(deadlines.waitedMillis(0, "r", OptionalLong.empty())).isZero();
    assertThat(deadlines.waitedMillis(1, "r", OptionalLong.of(500))).isZero();
  }

  /** Guards against one long deadline after which all later requests are treated as retries. */
  @Test
  void longDeadlineExpires() {
    deadlines.waitedMillis(0, "r", OptionalLong.of(60_000));
    deadlines.waitedMillis(6 * SECOND_NANOS, "r", OptionalLong.of(1_000));
    assertThat(deadlines.waitedMillis(12 * SECOND_NANOS, "r", OptionalLong.of(1_000))).isZero();
  }
}
