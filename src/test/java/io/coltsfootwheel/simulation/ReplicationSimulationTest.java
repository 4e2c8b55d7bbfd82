package io.coltsfootwheel.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicationSimulationTest {
  private static final long EVENTS = 5_000;

  /**
   * Guards against two leaders, lost or changed entries, stale confirmations and lasting stalls.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void faultsBreakNoPromise(long seed) {
    ReplicationSimulation.Result result = new ReplicationSimulation(seed, EVENTS).run();

    assertThat(result.violations()).isEmpty();
    assertThat(result.committedIndex()).isPositive();
  }

  /** Guards against hidden sources of time or randomness, which would make a seed useless. */
  @Test
  void equalSeedsGiveEqualRuns() {
    assertThat(new ReplicationSimulation(9, EVENTS).run())
        .isEqualTo(new ReplicationSimulation(9, EVENTS).run());
  }
}
