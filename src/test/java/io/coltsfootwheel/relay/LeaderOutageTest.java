package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderOutageTest {
  private static final double PHASE_MILLIS = 3_000;
  private static final double UTILISATION = 0.6;

  /** The targets have room for all requests; 99 in 100 requests are to be served. */
  private static final double MAX_REFUSED_RATIO = 0.01;

  /**
   * Load: the leader is lost for three seconds, at a load that the targets can serve. Guards
   * against entries that all send to the targets that were idle according to their last load
   * estimates.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void requestsAreSpreadWhileThereIsNoLeader(long seed) {
    LeaderOutageSimulation simulation = new LeaderOutageSimulation(seed);
    assertThat(simulation.run(PHASE_MILLIS, UTILISATION, true).refusedRatio())
        .isLessThan(MAX_REFUSED_RATIO);
    assertThat(simulation.run(PHASE_MILLIS, UTILISATION, false).refusedRatio())
        .isLessThan(MAX_REFUSED_RATIO);
  }
}
