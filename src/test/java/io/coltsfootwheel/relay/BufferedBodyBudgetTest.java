package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the limits of the memory for bodies without connections. */
class BufferedBodyBudgetTest {
  private final BufferedBodyBudget budget = new BufferedBodyBudget(100, 100, 150);
  private final List<String> aborted = new ArrayList<>();
  private final BufferedBodyLimiter small = body("small");
  private final BufferedBodyLimiter large = body("large");

  private BufferedBodyLimiter body(String name) {
    return new BufferedBodyLimiter(budget, () -> aborted.add(name));
  }

  /** Guards against complete bodies that grow beyond their limit. */
  @Test
  void bodyBeyondTheLimitIsRefusedAndNotCounted() {
    assertThat(budget.tryAddComplete(60)).isTrue();
    assertThat(budget.tryAddComplete(41)).isFalse();
    assertThat(budget.tryAddComplete(40)).isTrue();
    budget.removeComplete(60);
    assertThat(budget.completeBytes()).isEqualTo(40);
    assertThat(budget.tryAddComplete(60)).isTrue();
  }

  /** Guards against requests without a body that bring responses while there is no memory. */
  @Test
  void requestWithoutBodyIsRefusedWhileResponsesExceedTheLimit() {
    budget.addComplete(101);
    assertThat(budget.tryAddComplete(0)).isFalse();
  }

  /** Guards against complete and incomplete bodies that together exceed the memory. */
  @Test
  void largestIncompleteBodyIsAbortedWhenCompleteOnesNeedItsMemory() {
    budget.add(small, 30);
    budget.add(large, 40);
    budget.addComplete(90);
    assertThat(aborted).isEmpty();
    budget.add(small, 1);
    assertThat(aborted).containsExactly("large");
    assertThat(budget.incompleteBytes()).isEqualTo(31);
  }

  /** Guards against an endless search for a body to abort. */
  @Test
  void completeBodiesAloneAbortNothingElse() {
    budget.addComplete(1_000);
    budget.add(small, 1);
    assertThat(aborted).containsExactly("small");
    assertThat(budget.incompleteBytes()).isZero();
  }
}
