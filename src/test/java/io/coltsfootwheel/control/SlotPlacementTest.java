package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.ownedCounts;
import static io.coltsfootwheel.control.Fixtures.target;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.control.SlotPlacement.SlotMove;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotPlacementTest {
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  private static Candidate candidate(int number, int weight, boolean active) {
    return new Candidate(target(number), weight, active, true);
  }

  private static List<Candidate> candidates(int count) {
    return new ArrayList<>(
        IntStream.range(0, count)
            .mapToObj(number -> candidate(number, 1 + number % 3, true))
            .toList());
  }

  private static SlotOwnershipTable withFreeSlotsAssigned(
      SlotOwnershipTable table, List<Candidate> candidates) {
    PlacementInput input = new PlacementInput(table, candidates, Set.of());
    SlotOwnershipTable result = table;
    for (Map.Entry<TargetId, List<Integer>> entry :
        SlotPlacement.assignFreeSlots(input).entrySet()) {
      result = result.withOwner(entry.getValue(), entry.getKey(), 1);
    }
    return result;
  }

  private static SlotOwnershipTable withMoves(SlotOwnershipTable table, List<SlotMove> moves) {
    SlotOwnershipTable result = table;
    for (SlotMove move : moves) {
      result = result.withOwner(List.of(move.slot()), move.to(), 2);
    }
    return result;
  }

  private static void assertBalanced(SlotOwnershipTable table, List<Candidate> candidates) {
    int totalWeight = candidates.stream().mapToInt(Candidate::weight).sum();
    int[] owned = ownedCounts(table, candidates.size());
    for (int number = 0; number < candidates.size(); number++) {
      double share = (double) table.size() * candidates.get(number).weight() / totalWeight;
      assertThat(Math.abs(owned[number] - share)).isLessThan(1);
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "1024, 26", "1024, 30", "7, 9", "65536, 100"})
  void assignsByWeightAndMovesTheFewestSlotsWhenATargetJoins(int hashSlots, int targets) {
    List<Candidate> candidates = candidates(targets);
    SlotOwnershipTable before = withFreeSlotsAssigned(SlotOwnershipTable.of(hashSlots), candidates);
    assertBalanced(before, candidates);
    assertThat(SlotPlacement.balance(new PlacementInput(before, candidates, Set.of()), NO_LIMIT))
        .isEmpty();
    candidates.add(candidate(targets, 2, true));
    List<SlotMove> moves =
        SlotPlacement.balance(new PlacementInput(before, candidates, Set.of()), NO_LIMIT);
    assertBalanced(withMoves(before, moves), candidates);
    assertThat(moves).allMatch(move -> move.to().equals(target(targets)));
    int totalWeight = candidates.stream().mapToInt(Candidate::weight).sum();
    assertThat(moves).hasSizeLessThanOrEqualTo((hashSlots * 2 + totalWeight - 1) / totalWeight);
  }

  @ParameterizedTest
  @CsvSource({"1024, 26", "1024, 30", "4096, 100"})
  void movesOnlyTheSlotsOfATargetThatDrainsOrIsLost(int hashSlots, int targets) {
    List<Candidate> candidates = candidates(targets);
    SlotOwnershipTable before = withFreeSlotsAssigned(SlotOwnershipTable.of(hashSlots), candidates);
    int last = targets - 1;
    int ownedByLast = ownedCounts(before, targets)[last];
    List<Candidate> remaining = candidates.subList(0, last);
    SlotOwnershipTable afterLoss = withFreeSlotsAssigned(before, remaining);
    assertBalanced(afterLoss, remaining);
    assertThat(
            IntStream.range(0, hashSlots)
                .filter(slot -> afterLoss.fence(slot) != before.fence(slot)))
        .hasSizeLessThanOrEqualTo(ownedByLast);
    List<Candidate> draining = new ArrayList<>(remaining);
    draining.add(candidate(last, 1 + last % 3, false));
    List<SlotMove> moves =
        SlotPlacement.balance(new PlacementInput(before, draining, Set.of()), NO_LIMIT);
    assertThat(moves).hasSize(ownedByLast).allMatch(move -> move.from().equals(target(last)));
    assertBalanced(withMoves(before, moves), remaining);
  }

  @Test
  void movesSlotsNeitherToNorFromAnUnhealthyTarget() {
    List<Candidate> candidates = candidates(3);
    SlotOwnershipTable before = withFreeSlotsAssigned(SlotOwnershipTable.of(60), candidates);
    candidates.set(2, new Candidate(target(2), 3, true, false));
    PlacementInput unhealthyInput = new PlacementInput(before, candidates, Set.of());
    assertThat(SlotPlacement.assignFreeSlots(unhealthyInput)).isEmpty();
    assertThat(SlotPlacement.balance(unhealthyInput, NO_LIMIT)).isEmpty();
    candidates.add(candidate(3, 3, true));
    List<SlotMove> moves =
        SlotPlacement.balance(new PlacementInput(before, candidates, Set.of()), NO_LIMIT);
    assertThat(moves).isNotEmpty().noneMatch(move -> move.from().equals(target(2)));
  }

  @Test
  void assignsASlotInHandoverOfALostOwnerToTheReceiver() {
    List<Candidate> candidates = candidates(3);
    SlotOwnershipTable table =
        withFreeSlotsAssigned(SlotOwnershipTable.of(60), candidates)
            .withHandover(List.of(59), new Handover(target(0), 5, false));
    List<Candidate> remaining = candidates.subList(0, 2);
    assertThat(table.ownerOrNull(59)).isEqualTo(target(2));
    assertThat(
            SlotPlacement.assignFreeSlots(new PlacementInput(table, remaining, Set.of()))
                .get(target(0)))
        .contains(59);
  }

  @Test
  void doesNotAssignSlotsOfAnOwnerThatMayStillServe() {
    SlotOwnershipTable table =
        SlotOwnershipTable.of(4).withOwner(List.of(0, 1, 2, 3), target(9), 1);
    PlacementInput input = new PlacementInput(table, candidates(2), Set.of(target(9)));
    assertThat(SlotPlacement.assignFreeSlots(input)).isEmpty();
  }

  @Test
  void doesNotMoveSlotsBackThatMovedForLoad() {
    List<Candidate> candidates = List.of(candidate(0, 1, true), candidate(1, 1, true));
    SlotOwnershipTable balanced = withFreeSlotsAssigned(SlotOwnershipTable.of(10), candidates);
    int slot =
        IntStream.range(0, 10)
            .filter(candidateSlot -> target(0).equals(balanced.ownerOrNull(candidateSlot)))
            .min()
            .getAsInt();
    SlotOwnershipTable movedForLoad =
        balanced
            .withHandover(List.of(slot), new Handover(target(1), 2, true))
            .withOwner(List.of(slot), target(1), 3);
    assertThat(ownedCounts(movedForLoad, 2)).containsExactly(4, 6);
    assertThat(
            SlotPlacement.balance(new PlacementInput(movedForLoad, candidates, Set.of()), NO_LIMIT))
        .isEmpty();
  }
}
