package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeadBudgetTest {
  /**
   * Guards against clients that send ahead and leave no memory for the first requests of others.
   */
  @ParameterizedTest
  @CsvSource({"0, true, true", "500, true, true", "501, false, true", "901, false, false"})
  void halfOfTheBudgetIsForFirstRequests(long usedBytes, boolean pipelining, boolean first) {
    HeadBudget budget = new HeadBudget(1_000);
    assertThat(budget.tryAdd(usedBytes)).isTrue();
    assertThat(budget.hasRoomForPipelining()).isEqualTo(pipelining);
    assertThat(budget.tryAdd(100)).isEqualTo(first);
    budget.remove(usedBytes);
    assertThat(budget.hasRoomForPipelining()).isTrue();
  }
}
