package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.FullTargetSimulation.FullBehaviour;
import io.coltsfootwheel.loadcontrol.TargetConcurrencyLimit;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays load patterns of one target through the leader's concurrency limit. */
class TargetLoadLimitTest {
  private static final double WORK_MILLIS = 120;
  private static final int AMPLE_QUEUE = 100;
  private static final int SETTLE_MILLIS = 20_000;
  private static final int MEASURED_MILLIS = 60_000;

  private static final int SEEDS = 6;
  private static final int WAVES = 5;
  private static final int PERIODS = 300;
  private static final int PERIOD_MILLIS = 400;

  private static double capacityPerSecond(int slots) {
    return slots * 1_000 / WORK_MILLIS;
  }

  private static FullTargetSimulation.Target target(int slots, int queue, FullBehaviour full) {
    return new FullTargetSimulation.Target(slots, queue, WORK_MILLIS, full, n -> 1, n -> 0);
  }

  /**
   * Load: three times the capacity of a target with half of the assumed queue, from one entry or
   * ninety. Guards against requests of uncertain outcome, which a full target loses, and against a
   * limit that idles the target.
   */
  @ParameterizedTest
  @CsvSource({
    "2, 4, REFUSE, 1", "2, 4, RESET, 90", "2, 4, NO_RESPONSE, 90", "2, 8, RESET, 90",
    "6, 4, REFUSE, 90", "6, 4, RESET, 1", "6, 4, NO_RESPONSE, 1", "6, 24, NO_RESPONSE, 90"
  })
  void fullTargetLosesFewRequests(int slots, int queue, FullBehaviour full, int entries) {
    FullTargetSimulation run = new FullTargetSimulation(1, target(slots, queue, full), entries);
    double offered = 3 * capacityPerSecond(slots);
    run.run(SETTLE_MILLIS, offered, 1);
    run.run(MEASURED_MILLIS, offered, 1);
    assertThat(run.lost).isLessThan(run.sent / 25);
    assertThat(run.utilisation(MEASURED_MILLIS)).isGreaterThan(0.7);
  }

  /**
   * Load: a target with room in its queue at any utilisation. Guards against a limit that admits
   * less than the fixed one before it.
   */
  @ParameterizedTest
  @CsvSource({"1, 0.5", "1, 1.5", "2, 0.5", "2, 0.9", "2, 3", "6, 0.5", "6, 1.5", "12, 0.9"})
  void targetWithoutOverloadSignalsKeepsItsLimit(int slots, double utilisation) {
    FullTargetSimulation run =
        new FullTargetSimulation(2, target(slots, AMPLE_QUEUE, FullBehaviour.RESET), 90);
    run.run(MEASURED_MILLIS, utilisation * capacityPerSecond(slots), 1);
    assertThat(run.lowestLimit).isGreaterThanOrEqualTo(TargetConcurrencyLimit.initial(slots));
  }

  /**
   * Load: a target becomes four times slower, and 8 s later as fast as before. Guards against a
   * limit that follows in one direction only: it must fall to what the target completes within
   * eight times the usual time per request, and rise to the initial limit again.
   */
  @ParameterizedTest
  @CsvSource({"2, 1", "2, 90", "6, 1", "6, 90"})
  void limitFollowsASuddenSlowdownAndItsEnd(int slots, int entries) {
    FullTargetSimulation run =
        new FullTargetSimulation(2, target(slots, AMPLE_QUEUE, FullBehaviour.RESET), entries);
    double offered = 0.7 * capacityPerSecond(slots);
    run.run(SETTLE_MILLIS, offered, 1);
    run.run(4_000, offered, 4);
    int servedInTime = Math.max(8 * slots, 2 * TargetConcurrencyLimit.initial(slots)) / 4;
    assertThat(run.lowestLimit).isLessThanOrEqualTo(servedInTime + 1);
    run.run(4_000, offered, 4);
    run.run(5_000, offered, 1);
    assertThat(run.limit()).isGreaterThanOrEqualTo(TargetConcurrencyLimit.initial(slots));
  }

  /** Load: a target three times slower than usual. Guards against a limit that idles its slots. */
  @ParameterizedTest
  @CsvSource({"2", "6"})
  void slowTargetHasALowerLimitAndIsBusy(int slots) {
    FullTargetSimulation run =
        new FullTargetSimulation(2, target(slots, AMPLE_QUEUE, FullBehaviour.RESET), 90);
    run.run(SETTLE_MILLIS, capacityPerSecond(slots), 3);
    run.run(MEASURED_MILLIS, capacityPerSecond(slots), 3);
    assertThat(run.limit()).isBetween(slots + 1, slots * 8 / 3 + 4);
    assertThat(run.utilisation(MEASURED_MILLIS)).isGreaterThan(0.9 / 3);
  }

  /**
   * Load: in a fifth of the periods of 0.4 s, work takes three times as long, so that 87% of the
   * capacity is left. Guards against a limit that takes each period for an overload.
   */
  @ParameterizedTest
  @CsvSource({"2, 1.2", "2, 3", "6, 1.2", "6, 3"})
  void interferenceCostsNoFurtherCapacity(int slots, double utilisation) {
    FullTargetSimulation run =
        new FullTargetSimulation(3, target(slots, AMPLE_QUEUE, FullBehaviour.RESET), 90);
    Random random = new Random(4);
    double served = 0;
    for (int i = 0; i < PERIODS; i++) {
      int slowness = random.nextInt(5) == 0 ? 3 : 1;
      run.run(PERIOD_MILLIS, utilisation * capacityPerSecond(slots), slowness);
      served += run.utilisation(PERIOD_MILLIS) / PERIODS;
    }
    assertThat(served).isGreaterThan(0.83);
  }

  /**
   * Load: work takes three times as long while more than half of the slots are busy, and the demand
   * rises and falls. Guards against slots that are filled although this completes no more: the
   * response time must be clearly below that with all slots and the queue full, and the throughput,
   * which is a third of the capacity then, about the same.
   */
  @ParameterizedTest
  @CsvSource({"6, 1", "12, 1", "6, 90", "12, 90"})
  void targetThatSlowsDownAtHalfOfItsSlotsIsNotFilled(int slots, int entries) {
    FullTargetSimulation.Target target =
        new FullTargetSimulation.Target(
            slots, AMPLE_QUEUE, 450, FullBehaviour.RESET, n -> n > slots / 2 ? 3 : 1, n -> 0);
    double capacity = slots * 1_000 / target.workMillis();
    double responseMillis = 0;
    double utilisation = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      FullTargetSimulation run = new FullTargetSimulation(seed, target, entries);
      for (int i = 0; i < WAVES; i++) {
        run.run(SETTLE_MILLIS, 0.2 * capacity, 1);
        run.run(SETTLE_MILLIS, 0.9 * capacity, 1);
        responseMillis += run.meanResponseMillis() / WAVES / SEEDS;
        utilisation += run.utilisation(SETTLE_MILLIS) / WAVES / SEEDS;
      }
    }
    double fullResponseMillis =
        3 * target.workMillis() * TargetConcurrencyLimit.initial(slots) / slots;
    assertThat(utilisation).isGreaterThan(0.3);
    assertThat(responseMillis).isLessThan(0.6 * fullResponseMillis);
  }

  /**
   * Load: a target reports that it is idle, or has a thousand requests. Guards against trust in
   * what it says of itself.
   */
  @ParameterizedTest
  @CsvSource({"0", "1000"})
  void falselyReportedLoadNeitherFillsNorIdlesTheTarget(int reported) {
    FullTargetSimulation.Target target =
        new FullTargetSimulation.Target(
            6, 8, WORK_MILLIS, FullBehaviour.RESET, n -> 1, n -> reported);
    FullTargetSimulation run = new FullTargetSimulation(3, target, 90);
    run.run(SETTLE_MILLIS, 1.2 * capacityPerSecond(6), 1);
    run.run(MEASURED_MILLIS, 1.2 * capacityPerSecond(6), 1);
    assertThat(run.lost).isLessThan(run.sent / 25);
    assertThat(run.utilisation(MEASURED_MILLIS)).isGreaterThan(0.75);
  }
}
