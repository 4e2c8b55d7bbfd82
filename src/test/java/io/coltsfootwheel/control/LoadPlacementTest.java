package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.target;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.control.SlotPlacement.SlotMove;
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
  /** Hash slots 0 to 3 belong to target 0, 4 to 7 to target 1, and 8 to 11 to target 2. */
  private static LoadPlacement placement(double[] slotLoads, IntPredicate movable) {
    SlotOwnershipTable table = SlotOwnershipTable.of(12);
    for (int number = 0; number < 3; number++) {
      table = table.withOwner(slotsOf(number), target(number), 1);
    }
    List<Candidate> candidates =
        IntStream.range(0, 3)
            .mapToObj(number -> new Candidate(target(number), 2, true, true))
            .toList();
    Map<TargetId, Double> loads =
        Map.of(
            target(0),
            loadOf(slotLoads, 0),
            target(1),
            loadOf(slotLoads, 1),
            target(2),
            loadOf(slotLoads, 2));
    Map<TargetId, List<SlotLoad>> hottest =
        Map.of(
            target(0), hottestSlotsOf(slotLoads, 0),
            target(1), hottestSlotsOf(slotLoads, 1),
            target(2), hottestSlotsOf(slotLoads, 2));
    return new LoadPlacement(
        new PlacementInput(table, candidates, Set.of()), loads, hottest, movable);
  }

  private static List<Integer> slotsOf(int number) {
    return IntStream.range(4 * number, 4 * number + 4).boxed().toList();
  }

  private static double loadOf(double[] loads, int number) {
    return slotsOf(number).stream().mapToDouble(slot -> loads[slot]).sum();
  }

  private static List<SlotLoad> hottestSlotsOf(double[] loads, int number) {
    return slotsOf(number).stream().map(slot -> new SlotLoad(slot, loads[slot])).toList();
  }

  private static double[] loads(double... firstLoads) {
    double[] loads = new double[12];
    Arrays.fill(loads, 10);
    System.arraycopy(firstLoads, 0, loads, 0, firstLoads.length);
    return loads;
  }

  @Test
  void movesTheHottestUsefulSlotFirstAndGivesTheReason() {
    List<SlotMove> moves = placement(loads(100, 40, 30, 10), slot -> true).moves(10);
    assertThat(moves.get(0).slot()).isZero();
    assertThat(moves.get(0).reason()).contains("hash slot 0 has 100.0 requests/s");
  }

  @Test
  void doesNotMoveASlotThatWouldLoadTheReceiverAsMuchAsTheDonor() {
    assertThat(placement(loads(400, 0, 0, 0), slot -> true).moves(10)).isEmpty();
    List<SlotMove> moves = placement(loads(400, 20, 20, 20), slot -> true).moves(10);
    assertThat(moves).isNotEmpty().noneMatch(move -> move.slot() == 0);
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "1, 1", "2, 2"})
  void staysWithinTheLimit(int limit, int expected) {
    assertThat(placement(loads(60, 60, 60, 60), slot -> true).moves(limit)).hasSize(expected);
  }

  @Test
  void doesNotMoveASlotThatMovedRecently() {
    assertThat(placement(loads(100, 40, 30, 10), slot -> slot != 0).moves(10))
        .noneMatch(move -> move.slot() == 0);
  }

  @Test
  void stopsNearTheMean() {
    LoadPlacement placement = placement(loads(30, 30, 30, 30), slot -> true);
    assertThat(placement.imbalance()).isCloseTo(1.8, Offset.offset(1e-9));
    placement.moves(10);
    assertThat(placement.imbalance()).isLessThan(1.4);
    assertThat(placement(new double[12], slot -> true).imbalance()).isEqualTo(1);
  }
}
