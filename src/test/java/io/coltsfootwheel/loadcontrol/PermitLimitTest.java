package io.coltsfootwheel.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PermitLimitTest {
  /**
   * Guards against a rate and a burst that exceed the bound with unusual settings, and against a
   * limit that grants nothing although the bound leaves room for a request.
   */
  @ParameterizedTest
  @CsvSource({
    "3.7, 1.5, 8, true",
    "3.7, 1, 0, true",
    "100, 1, 0, true",
    "0.2, 1, 0.5, false",
    "0, 1.5, 8, true",
    "0, 1.5, 0, false",
    "1000, 0, 8, true"
  })
  void permitsOfAWindowStayWithinTheBound(
      double rate, double overshoot, double slack, boolean grantsPermits) {
    PermitLimit limit = PermitLimit.of(rate, overshoot, slack);
    double windowSeconds =
        1 + (PermitLimit.VALID_MILLIS + PermitLimit.MAX_TRANSIT_MILLIS) / 1_000.0;
    assertThat(limit.burst() + limit.ratePerSecond() * windowSeconds)
        .isLessThanOrEqualTo(rate * overshoot + slack + 1e-9);
    assertThat(limit.ratePerSecond()).isBetween(0.0, rate);
    assertThat(limit.burst() >= 1).isEqualTo(grantsPermits);
  }
}
