package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetRetryBudgetTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private static int takeAllRetries(FleetRetryBudget budget, long nowNanos, int entryCount) {
    int count = 0;
    while (budget.tryRetry(nowNanos, SERVICE, entryCount)) {
      count++;
    }
    return count;
  }

  /**
   * Load pattern: every request fails. Guards against entries that together make more retries than
   * the fleet limit.
   */
  @ParameterizedTest
  @CsvSource({"1", "5", "60"})
  void totalRetriesOfAllEntriesStayBelowTheFleetLimit(int entryCount) {
    int total = 0;
    for (int entry = 0; entry < entryCount; entry++) {
      FleetRetryBudget budget = new FleetRetryBudget(0.2, 60, 10_000);
      for (int i = 0; i < 100; i++) {
        budget.recordRequest(SECOND_NANOS + i * 1_000_000L, SERVICE);
      }
      total += takeAllRetries(budget, SECOND_NANOS * 2, entryCount);
    }
    assertThat(total).isPositive().isLessThanOrEqualTo((int) (0.2 * 100 * entryCount + 60));
  }

  /** Guards against a budget that stays exhausted after the window has passed. */
  @Test
  void budgetIsAvailableAgainAfterTheWindow() {
    FleetRetryBudget budget = new FleetRetryBudget(0.2, 10, 10_000);
    int first = takeAllRetries(budget, SECOND_NANOS, 1);
    assertThat(first).isPositive();
    assertThat(takeAllRetries(budget, SECOND_NANOS * 5, 1)).isZero();
    assertThat(takeAllRetries(budget, SECOND_NANOS * 12, 1)).isEqualTo(first);
  }
}
