package io.coltsfootwheel.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.InstanceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LinkSettingsTest {
  /** Guards against a connection that is never opened because each answer is later than 300 ms. */
  @ParameterizedTest
  @CsvSource({"0, 300", "1, 600", "2, 1200", "3, 1200", "1000, 1200"})
  void timeoutOfAttemptsGrowsPastARepeatedSegment(int failedAttempts, long expectedMillis) {
    LinkSettings settings =
        LinkSettings.of("c", InstanceId.of("a"), "s", "127.0.0.1", 0, "key".getBytes());
    assertThat(settings.connectTimeoutMillis(failedAttempts)).isEqualTo(expectedMillis);
  }
}
