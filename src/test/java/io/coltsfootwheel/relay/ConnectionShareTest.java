package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionShareTest {
  /**
   * Load: all entries have requests for one target at once. Guards against connections that a
   * target with a long queue resets, because all entries together open as many as its limit when it
   * is idle.
   */
  @ParameterizedTest
  @CsvSource({"630, 95", "430, 62", "120, 10", "130, 12"})
  void allEntriesTogetherStayBelowHalfOfTheLimit(int maxConnections, int entries) {
    assertThat(entries * ConnectionShare.of(maxConnections, entries))
        .isLessThanOrEqualTo(maxConnections / 2);
  }

  /** Guards against an entry that can send nothing because the limit is small. */
  @ParameterizedTest
  @CsvSource({"0, 1", "10, 95"})
  void everyEntryMayOpenTwoConnections(int maxConnections, int entries) {
    assertThat(ConnectionShare.of(maxConnections, entries)).isEqualTo(2);
  }
}
