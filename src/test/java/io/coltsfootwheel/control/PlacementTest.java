package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.owned;
import static io.coltsfootwheel.control.Fixtures.target;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Placement.Move;
import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementTest {
  private static final int ALL = Integer.MAX_VALUE;

  private static Candidate candidate(int n, int weight, boolean active) {
    return new Candidate(target(n), weight, active, true);
  }

  private static List<Candidate> candidates(int count) {
    return new ArrayList<>(
        IntStream.range(0, count).mapToObj(n -> candidate(n, 1 + n % 3, true)).toList());
  }

  private static SlotTable assigned(SlotTable table, List<Candidate> candidates) {
    PlacementInput input = new PlacementInput(table, candidates, Set.of());
    SlotTable result = table;
    for (Map.Entry<TargetId, List<Integer>> entry : Placement.assignFree(input).entrySet()) {
      result = result.withOwner(entry.getValue(), entry.getKey(), 1);
    }
    return result;
  }

  private static SlotTable moved(SlotTable table, List<Move> moves) {
    SlotTable result = table;
    for (Move move : moves) {
      result = result.withOwner(List.of(move.slot()), move.to(), 2);
    }
    return result;
  }

  private static void assertEven(SlotTable table, List<Candidate> candidates) {
    int weights = candidates.stream().mapToInt(Candidate::weight).sum();
    int[] owned = owned(table, candidates.size());
    for (int n = 0; n < candidates.size(); n++) {
      double share = (double) table.size() * candidates.get(n).weight() / weights;
      assertThat(Math.abs(owned[n] - share)).isLessThan(1);
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "1024, 26", "1024, 30", "7, 9", "65536, 100"})
  void assignsByWeightAndMovesTheLeastWhenATargetJoins(int hashSlots, int targets) {
    List<Candidate> candidates = candidates(targets);
    SlotTable before = assigned(SlotTable.of(hashSlots), candidates);
    assertEven(before, candidates);
    assertThat(Placement.balance(new PlacementInput(before, candidates, Set.of()), ALL)).isEmpty();
    candidates.add(candidate(targets, 2, true));
    List<Move> moves = Placement.balance(new PlacementInput(before, candidates, Set.of()), ALL);
    assertEven(moved(before, moves), candidates);
    assertThat(moves).allMatch(m -> m.to().equals(target(targets)));
    int weights = candidates.stream().mapToInt(Candidate::weight).sum();
    assertThat(moves).hasSizeLessThanOrEqualTo((hashSlots * 2 + weights - 1) / weights);
  }

  @ParameterizedTest
  @CsvSource({"1024, 26", "1024, 30", "4096, 100"})
  void movesOnlyTheSlotsOfATargetThatDrainsOrIsLost(int hashSlots, int targets) {
    List<Candidate> candidates = candidates(targets);
    SlotTable before = assigned(SlotTable.of(hashSlots), candidates);
    int last = targets - 1;
    int ownedByLast = owned(before, targets)[last];
    List<Candidate> rest = candidates.subList(0, last);
    SlotTable afterLoss = assigned(before, rest);
    assertEven(afterLoss, rest);
    assertThat(IntStream.range(0, hashSlots).filter(s -> afterLoss.fence(s) != before.fence(s)))
        .hasSizeLessThanOrEqualTo(ownedByLast);
    List<Candidate> draining = new ArrayList<>(rest);
    draining.add(candidate(last, 1 + last % 3, false));
    List<Move> moves = Placement.balance(new PlacementInput(before, draining, Set.of()), ALL);
    assertThat(moves).hasSize(ownedByLast).allMatch(m -> m.from().equals(target(last)));
    assertEven(moved(before, moves), rest);
  }

  @Test
  void givesNothingToATargetThatIsNotHealthyAndTakesNothingFromIt() {
    List<Candidate> candidates = candidates(3);
    SlotTable before = assigned(SlotTable.of(60), candidates);
    candidates.set(2, new Candidate(target(2), 3, true, false));
    PlacementInput suspect = new PlacementInput(before, candidates, Set.of());
    assertThat(Placement.assignFree(suspect)).isEmpty();
    assertThat(Placement.balance(suspect, ALL)).isEmpty();
    candidates.add(candidate(3, 3, true));
    List<Move> moves = Placement.balance(new PlacementInput(before, candidates, Set.of()), ALL);
    assertThat(moves).isNotEmpty().noneMatch(m -> m.from().equals(target(2)));
  }

  @Test
  void completesTheHandoverOfALostOwnerAtItsReceiver() {
    List<Candidate> candidates = candidates(3);
    SlotTable table =
        assigned(SlotTable.of(60), candidates)
            .withHandover(List.of(59), new Handover(target(0), 5, false));
    List<Candidate> rest = candidates.subList(0, 2);
    assertThat(table.ownerOrNull(59)).isEqualTo(target(2));
    assertThat(Placement.assignFree(new PlacementInput(table, rest, Set.of())).get(target(0)))
        .contains(59);
  }

  @Test
  void keepsSlotsOfAnOwnerThatMayStillServe() {
    SlotTable table = SlotTable.of(4).withOwner(List.of(0, 1, 2, 3), target(9), 1);
    PlacementInput input = new PlacementInput(table, candidates(2), Set.of(target(9)));
    assertThat(Placement.assignFree(input)).isEmpty();
  }

  @Test
  void leavesSlotsThatMovedForLoadWhereTheyAre() {
    List<Candidate> candidates = List.of(candidate(0, 1, true), candidate(1, 1, true));
    SlotTable even = assigned(SlotTable.of(10), candidates);
    int slot =
        IntStream.range(0, 10).filter(s -> target(0).equals(even.ownerOrNull(s))).min().getAsInt();
    SlotTable uneven =
        even.withHandover(List.of(slot), new Handover(target(1), 2, true))
            .withOwner(List.of(slot), target(1), 3);
    assertThat(owned(uneven, 2)).containsExactly(4, 6);
    assertThat(Placement.balance(new PlacementInput(uneven, candidates, Set.of()), ALL)).isEmpty();
  }
}
