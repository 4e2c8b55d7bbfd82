package io.coltsfootwheel.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetSelectionTest {
  private static final int TARGETS = 112;
  private static final int ZONES = 4;
  private static final double MILLIS_PER_REQUEST = 291;
  private static final SelectionNeed NEED = new SelectionNeed(1_200, false);

  private static TargetCandidate candidate(double waitMillis, boolean ownZone) {
    return new TargetCandidate(
        2, MILLIS_PER_REQUEST, waitMillis, ownZone, false, false, false, false);
  }

  /**
   * Load: 90 entries with the same estimates, according to which few targets are idle, send 67
   * requests before the next estimates (450 per second for 150 ms). Guards against entries that all
   * send to the idle targets: each has 2 slots and a queue of 8, and receives at most as many.
   */
  @ParameterizedTest
  @CsvSource({"2, 300", "2, 600", "10, 300", "10, 600", "40, 300"})
  void fewIdleTargetsReceiveFewRequests(int idleTargets, double waitOfOthersMillis) {
    int rounds = 50;
    int requestsPerRound = 67;
    int[] received = new int[TARGETS];
    for (int i = 0; i < rounds * requestsPerRound; i++) {
      UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(i);
      int zone = i % ZONES;
      TargetSelection<Integer> selection =
          new TargetSelection<>(
              random,
              t -> candidate(t < idleTargets ? 0 : waitOfOthersMillis, t % ZONES == zone),
              NEED);
      received[
          selection
              .select(
                  new TargetSelection.Targets<>(
                      targets(zone, true), targets(zone, false), List.of()))
              .orElseThrow()
              .target()]++;
    }
    int most = IntStream.of(received).max().orElseThrow();
    assertThat((double) most / rounds).isLessThan(6);
  }

  private static List<Integer> targets(int zone, boolean ownZone) {
    return IntStream.range(0, TARGETS).filter(t -> t % ZONES == zone == ownZone).boxed().toList();
  }

  /**
   * Guards against a preference that is missing or in the wrong order: a free slot, an idle
   * connection and the own zone each matter only among targets that are good enough.
   */
  @ParameterizedTest
  @CsvSource({
    "0, true, 0, false, 0",
    "100, false, 0, false, 1",
    "100, true, 0, false, 1",
    "100, false, 100, true, 1",
    "100, false, 50, false, 1",
    "400, true, 100, false, 1"
  })
  void amongGoodTargetsAFreeSlotAndThenAnIdleConnectionIsPreferred(
      double firstWaitMillis,
      boolean firstConnected,
      double secondWaitMillis,
      boolean secondConnected,
      int expected) {
    List<TargetCandidate> candidates =
        List.of(
            connected(firstWaitMillis, firstConnected),
            connected(secondWaitMillis, secondConnected));
    for (int seed = 0; seed < 20; seed++) {
      TargetSelection<Integer> selection =
          new TargetSelection<>(
              RandomSource.SPLIT_MIX_64.create(seed),
              candidates::get,
              new SelectionNeed(1_500, false));
      assertThat(
              selection
                  .select(new TargetSelection.Targets<>(List.of(0, 1), List.of(), List.of()))
                  .orElseThrow()
                  .target())
          .isEqualTo(expected);
    }
  }

  private static TargetCandidate connected(double waitMillis, boolean idleConnection) {
    return new TargetCandidate(
        2, MILLIS_PER_REQUEST, waitMillis, true, idleConnection, false, false, false);
  }

  /** Guards against a service without any target. */
  @Test
  void noTargetIsSelectedFromNone() {
    TargetSelection<Integer> selection =
        new TargetSelection<>(RandomSource.SPLIT_MIX_64.create(1), t -> candidate(0, true), NEED);
    assertThat(selection.select(new TargetSelection.Targets<>(List.of(), List.of(), List.of())))
        .isEmpty();
  }
}
