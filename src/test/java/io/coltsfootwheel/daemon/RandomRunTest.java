package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RandomRunTest {
  /**
   * Guards against double executions, wrong not-run answers, overlapping owners, lost list changes
   * and missing recovery under faults. Seed 5 guards against a member that is never repaired after
   * the loss of its disk.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 5, 10})
  void keepsTheInvariantsUnderRandomFaults(long seed) {
    RandomRun.Result result = new RandomRun(seed, 20_000).run();

    assertThat(result.violation())
        .as(() -> String.join(System.lineSeparator(), result.trace()))
        .isEmpty();
    assertThat(result.executions()).isPositive();
    assertThat(result.listChanges()).isPositive();
  }

  /**
   * Guards against a run that depends on more than its seed: its violations could not be
   * reproduced.
   */
  @Test
  void repeatsARunFromItsSeed() {
    assertThat(new RandomRun(7, 5_000).run()).isEqualTo(new RandomRun(7, 5_000).run());
  }
}
