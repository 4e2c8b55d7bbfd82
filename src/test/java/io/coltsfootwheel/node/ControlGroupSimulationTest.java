package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlGroupSimulationTest {
  private static final long RUN_MILLIS = 15_000;

  /** Guards against a machine that stays outside the group for good after it lost its disk. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void allProcessesHaveTheStateAfterTheLossOfDisks(long seed) {
    ControlGroupSimulation group = new ControlGroupSimulation(seed);
    group.run(RUN_MILLIS);
    assertThat(group.allHaveState()).isTrue();
  }

  /**
   * Guards against a control process that ends by itself, or a group that commits nothing any more,
   * after machines have lost their disks while all others lost power.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void noProcessFailsWhenDisksAndPowerAreLost(long seed) {
    ControlGroupSimulation group = new ControlGroupSimulation(seed);
    assertThat(group.run(RUN_MILLIS)).isTrue();
    assertThat(group.lostDisks()).isPositive();
  }
}
