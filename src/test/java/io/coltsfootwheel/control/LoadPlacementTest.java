package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.target;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Placement.Move;
import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetId;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadPlacementTest {
  /** Slots 0-3 at target 0, 4-7 at target 1, 8-11 at target 2. */
  private static LoadPlacement placement(double[] slotLoads, IntPredicate movable) {
    SlotTable table = SlotTable.of(12);
    for (int n = 0; n < 3; n++) {
      table = table.withOwner(slots(n), target(n), 1);
    }
    List<Candidate> candidates =
        IntStream.range(0, 3).mapToObj(n -> new Candidate(target(n), 2, true, true)).toList();
    Map<TargetId, Double> loads =
        Map.of(
            target(0),
            sum(slotLoads, 0),
            target(1),
            sum(slotLoads, 1),
            target(2),
            sum(slotLoads, 2));
    Map<TargetId, List<SlotLoad>> hottest =
        Map.of(
            target(0), hottest(slotLoads, 0),
            target(1), hottest(slotLoads, 1),
            target(2), hottest(slotLoads, 2));
    return new LoadPlacement(
        new PlacementInput(table, candidates, Set.of()), loads, hottest, movable);
  }

  private static List<Integer> slots(int n) {
    return IntStream.range(4 * n, 4 * n + 4).boxed().toList();
  }

  private static double sum(double[] loads, int n) {
    return slots(n).stream().mapToDouble(s -> loads[s]).sum();
  }

  private static List<SlotLoad> hottest(double[] loads, int n) {
    return slots(n).stream().map(s -> new SlotLoad(s, loads[s])).toList();
  }

  private static double[] loads(double... first) {
    double[] loads = new double[12];
    Arrays.fill(loads, 10);
    System.arraycopy(first, 0, loads, 0, first.length);
    return loads;
  }

  @Test
  void movesTheHottestUsefulSlotFirstAndSaysWhy() {
    List<Move> moves = placement(loads(100, 40, 30, 10), s -> true).moves(10);
    assertThat(moves.get(0).slot()).isZero();
    assertThat(moves.get(0).reason()).contains("hash slot 0 has 100.0 requests/s");
  }

  @Test
  void doesNotMoveASlotThatWouldMakeTheReceiverAsHotAsTheDonorWas() {
    assertThat(placement(loads(400, 0, 0, 0), s -> true).moves(10)).isEmpty();
    List<Move> moves = placement(loads(400, 20, 20, 20), s -> true).moves(10);
    assertThat(moves).isNotEmpty().noneMatch(m -> m.slot() == 0);
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 1", "2, 2"})
  void staysWithinTheBudget(int budget, int expected) {
    assertThat(placement(loads(60, 60, 60, 60), s -> true).moves(budget)).hasSize(expected);
  }

  @Test
  void doesNotMoveASlotAgainWhileItCoolsDown() {
    assertThat(placement(loads(100, 40, 30, 10), s -> s != 0).moves(10))
        .noneMatch(m -> m.slot() == 0);
  }

  @Test
  void stopsNearTheMean() {
    LoadPlacement placement = placement(loads(30, 30, 30, 30), s -> true);
    assertThat(placement.imbalance()).isCloseTo(1.8, Offset.offset(1e-9));
    placement.moves(10);
    assertThat(placement.imbalance()).isLessThan(1.4);
    assertThat(placement(new double[12], s -> true).imbalance()).isEqualTo(1);
  }
}
