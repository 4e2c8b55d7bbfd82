package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against executing an identity twice, reporting executed requests as not run, exceeding the
 * slots of a target, and executing requests for hash slots that the target does not own.
 */
class DispatchSimulationTest {
  private static final int SEEDS_PER_BLOCK = 10;

  @ParameterizedTest
  @ValueSource(longs = {0, 10, 20, 30, 40, 50, 60, 70, 1_090, 1_610, 2_950})
  void rulesHoldUnderFaults(long firstSeed) {
    for (long seed = firstSeed; seed < firstSeed + SEEDS_PER_BLOCK; seed++) {
      DispatchSimulation simulation = new DispatchSimulation(seed);
      simulation.run(20_000);
      // Seeds with long outages run longer, so that they execute enough requests to be meaningful.
      for (int extension = 0; extension < 4 && simulation.executions() <= 300; extension++) {
        simulation.run(10_000);
      }
      assertThat(simulation.violations()).as("seed %d", seed).isEmpty();
      assertThat(simulation.executions()).as("seed %d executes work", seed).isGreaterThan(300);
    }
  }
}
