package io.coltsfootwheel.control;

import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.control.SlotPlacement.SlotMove;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

/** Chooses which hot hash slots of one service move to balance load, from one set of reports. */
final class LoadPlacement {
  /** Ratio of the highest load per weight to the mean at which moves end. */
  static final double STOP_IMBALANCE = 1.10;

  /**
   * Highest load of a receiver after a move, as a part of the donor's load before it. Below 1, so
   * that noise in the rates does not move the hash slot back.
   */
  private static final double MAX_RECEIVER_LOAD_RATIO = 0.95;

  /** Mean load per weight below which the load is too low to compare targets. */
  private static final double MIN_MEAN_REQUESTS_PER_SECOND = 1.0;

  private final SlotOwnershipTable table;
  private final List<Candidate> candidates;
  private final Map<TargetId, List<SlotLoad>> hottest;
  private final IntPredicate movable;
  private final Map<TargetId, Double> loads = new HashMap<>();
  private final Set<Integer> movedSlots = new HashSet<>();
  private final double meanPerWeight;

  /**
   * Prepares the moves; only targets that are ACTIVE and healthy give or receive hash slots.
   *
   * @param input the service
   * @param observedLoads requests per second of each target
   * @param hottest load of the hottest hash slots of each target
   * @param movable false for hash slots that moved recently
   */
  LoadPlacement(
      PlacementInput input,
      Map<TargetId, Double> observedLoads,
      Map<TargetId, List<SlotLoad>> hottest,
      IntPredicate movable) {
    this.table = input.table();
    this.candidates =
        input.candidates().stream().filter(Candidate::active).filter(Candidate::healthy).toList();
    this.hottest = hottest;
    this.movable = movable;
    candidates.forEach(
        candidate -> loads.put(candidate.id(), observedLoads.getOrDefault(candidate.id(), 0.0)));
    double totalLoad = loads.values().stream().mapToDouble(Double::doubleValue).sum();
    int totalWeight = candidates.stream().mapToInt(Candidate::weight).sum();
    this.meanPerWeight = totalWeight == 0 ? 0 : totalLoad / totalWeight;
  }

  /**
   * Returns the ratio of the highest load per weight to the mean load per weight.
   *
   * @return the ratio, 1 when the load is too low to compare targets
   */
  double imbalance() {
    return meanPerWeight < MIN_MEAN_REQUESTS_PER_SECOND
        ? 1
        : loadPerWeight(hottestTarget().orElseThrow()) / meanPerWeight;
  }

  /**
   * Moves hot hash slots from the target with the highest load per weight to the one with the
   * lowest, until the imbalance is at most {@link #STOP_IMBALANCE} or no further move helps. Each
   * move takes the hottest hash slot that leaves the receiver clearly below the donor's load.
   *
   * @param limit largest number of moves
   * @return the moves in order; later calls of {@link #imbalance} count them as done
   */
  List<SlotMove> moves(int limit) {
    List<SlotMove> moves = new ArrayList<>();
    while (moves.size() < limit && imbalance() > STOP_IMBALANCE) {
      Optional<SlotMove> move = nextMove();
      if (move.isEmpty()) {
        break;
      }
      moves.add(move.get());
    }
    return moves;
  }

  private Optional<SlotMove> nextMove() {
    Candidate donor = hottestTarget().orElseThrow();
    Candidate receiver = candidates.stream().min(byLoadPerWeight()).orElseThrow();
    double donorLoad = loadPerWeight(donor);
    Optional<SlotLoad> hottestUseful =
        hottest.getOrDefault(donor.id(), List.of()).stream()
            .filter(slot -> isMovable(slot, donor.id()))
            .filter(
                slot ->
                    loadPerWeightWith(receiver, slot.requestsPerSecond())
                        < donorLoad * MAX_RECEIVER_LOAD_RATIO)
            .max(Comparator.comparingDouble(SlotLoad::requestsPerSecond));
    return hottestUseful.map(slot -> move(slot, donor, receiver, donorLoad));
  }

  private SlotMove move(SlotLoad slot, Candidate donor, Candidate receiver, double donorLoad) {
    String reason =
        "load: %s has %.1f requests/s per slot, the mean is %.1f; hash slot %d has %.1f requests/s"
            .formatted(
                donor.id(), donorLoad, meanPerWeight, slot.hashSlot(), slot.requestsPerSecond());
    loads.merge(donor.id(), -slot.requestsPerSecond(), Double::sum);
    loads.merge(receiver.id(), slot.requestsPerSecond(), Double::sum);
    movedSlots.add(slot.hashSlot());
    return new SlotMove(slot.hashSlot(), donor.id(), receiver.id(), reason);
  }

  private boolean isMovable(SlotLoad slot, TargetId donor) {
    int hashSlot = slot.hashSlot();
    return table.contains(hashSlot)
        && donor.equals(table.ownerOrNull(hashSlot))
        && !table.handovers().contains(hashSlot)
        && !movedSlots.contains(hashSlot)
        && slot.requestsPerSecond() > 0
        && movable.test(hashSlot);
  }

  private Optional<Candidate> hottestTarget() {
    return candidates.stream().max(byLoadPerWeight());
  }

  private Comparator<Candidate> byLoadPerWeight() {
    return Comparator.comparingDouble(this::loadPerWeight).thenComparing(Candidate::id);
  }

  private double loadPerWeight(Candidate candidate) {
    return loads.get(candidate.id()) / candidate.weight();
  }

  private double loadPerWeightWith(Candidate candidate, double addedLoad) {
    return (loads.get(candidate.id()) + addedLoad) / candidate.weight();
  }
}
