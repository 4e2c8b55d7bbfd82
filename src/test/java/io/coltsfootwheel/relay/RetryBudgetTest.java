package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ServiceName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private static int retries(RetryBudget budget, long nowNanos, int entries) {
    int count = 0;
    while (budget.tryRetry(nowNanos, SERVICE, entries)) {
      count++;
    }
    return count;
  }

  /**
   * Load pattern: every request fails. Guards against retries of all entries together that exceed
   * the bound of the fleet.
   */
  @ParameterizedTest
  @CsvSource({"1", "5", "60"})
  void allEntriesTogetherStayBelowTheBound(int entries) {
    int total = 0;
    for (int entry = 0; entry < entries; entry++) {
      RetryBudget budget = new RetryBudget(0.2, 60, 10_000);
      for (int i = 0; i < 100; i++) {
        budget.request(SECOND_NANOS + i * 1_000_000L, SERVICE);
      }
      total += retries(budget, SECOND_NANOS * 2, entries);
    }
    assertThat(total).isPositive().isLessThanOrEqualTo((int) (0.2 * 100 * entries + 60));
  }

  /** Guards against a budget that never recovers. */
  @Test
  void budgetReturnsAfterTheWindow() {
    RetryBudget budget = new RetryBudget(0.2, 10, 10_000);
    int first = retries(budget, SECOND_NANOS, 1);
    assertThat(first).isPositive();
    assertThat(retries(budget, SECOND_NANOS * 5, 1)).isZero();
    assertThat(retries(budget, SECOND_NANOS * 12, 1)).isEqualTo(first);
  }
}
