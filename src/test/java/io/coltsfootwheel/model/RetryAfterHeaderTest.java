package io.coltsfootwheel.model;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAfterHeaderTest {
  /** Guards against a pause that is endless or has a wrong sign after an overflow. */
  @ParameterizedTest
  @CsvSource({
    "0, 0",
    "2, 2000",
    "0.25, 250",
    "' 1.5 ', 1500",
    "3600, 3600000",
    "86401, 86400000",
    "9223372036854775807, 86400000",
    "99999999999999999999999999999999999999, 86400000"
  })
  void secondsAreReadUpToTheMaximum(String value, long millis) {
    assertThat(RetryAfterHeader.millis(value)).hasValue(millis);
  }

  /** Guards against an error to the caller, or a pause, because of an unreadable value. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "-1",
        "+1",
        "soon",
        "NaN",
        "Infinity",
        "1e3",
        "0x10",
        "1,5",
        ".5",
        "Sat, 05 Dec 2026 15:00:00 GMT"
      })
  void otherValuesAreNoPause(String value) {
    assertThat(RetryAfterHeader.millis(value)).isEmpty();
  }
}
