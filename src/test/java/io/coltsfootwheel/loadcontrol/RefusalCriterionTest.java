package io.coltsfootwheel.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load: a target refuses requests, because it is full or for another reason. Guards against a limit
 * that falls although fewer requests would be refused as often, and against one that stays although
 * the target is full.
 */
class RefusalCriterionTest {
  private static final int SLOTS = 2;
  private static final int REPORTS = 80;
  private static final TargetConcurrencyLimit.Capacity CAPACITY =
      new TargetConcurrencyLimit.Capacity(SLOTS, 0.12, 0.12);

  private final TargetConcurrencyLimit limit = new TargetConcurrencyLimit();

  private void report(int first, RefusalCounts refusals) {
    report(first, refusals, true);
  }

  private void report(int first, RefusalCounts refusals, boolean isServiceLoadRelated) {
    for (int i = first; i < first + REPORTS; i++) {
      limit.add(
          TimeUnit.MILLISECONDS.toNanos(1_000 + 100L * i),
          CAPACITY,
          new TargetConcurrencyLimit.Observation(8, 2, 400, 0, 0, refusals, isServiceLoadRelated));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0, 2, true",
    "1, 0, 0, true",
    "1, 1, 9, true",
    "1, 1, 1, false",
    "3, 2, 1, false",
    "0, 3, 1, false",
    "0, 0, 4, false"
  })
  void limitFallsWhenRefusalsDependOnLoad(
      int busy, int freeRefused, int freeAnswered, boolean falls) {
    report(0, new RefusalCounts(busy, freeRefused, freeAnswered));
    assertThat(limit.current(CAPACITY) < TargetConcurrencyLimit.initial(SLOTS)).isEqualTo(falls);
  }

  /** Guards against refusals of the past that hide that the target is full now. */
  @ParameterizedTest
  @CsvSource({"1, 0, 2"})
  void laterRefusalsCountAgain(int busy, int freeRefused, int freeAnswered) {
    report(0, new RefusalCounts(1, 1, 1));
    report(2 * REPORTS, new RefusalCounts(busy, freeRefused, freeAnswered));
    assertThat(limit.current(CAPACITY)).isLessThan(TargetConcurrencyLimit.initial(SLOTS));
  }

  /**
   * Load: all targets of a service begin to refuse at any load. Guards against limits that fall
   * until each of them has shown this.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "false, false"})
  void refusalsOfTheServiceCount(boolean isServiceLoadRelated, boolean falls) {
    report(0, new RefusalCounts(2, 0, 1), isServiceLoadRelated);
    assertThat(limit.current(CAPACITY) < TargetConcurrencyLimit.initial(SLOTS)).isEqualTo(falls);
  }
}
