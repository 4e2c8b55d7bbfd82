package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Placement.Move;
import io.coltsfootwheel.control.PlacementInput.Candidate;
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

/** Moves of hot hash slots for one service, decided from one set of observations. */
final class LoadPlacement {
  /** Imbalance, highest load to mean, at which moves end. */
  static final double STOP_IMBALANCE = 1.10;

  /** A receiver must stay this far below the donor's load, so that noise does not move it back. */
  private static final double GAIN = 0.95;

  /** Below this mean the load is too low for a ratio to mean anything. */
  private static final double MIN_MEAN_PER_SECOND = 1.0;

  private final SlotTable table;
  private final List<Candidate> candidates;
  private final Map<TargetId, List<SlotLoad>> hottest;
  private final IntPredicate movable;
  private final Map<TargetId, Double> loads = new HashMap<>();
  private final Set<Integer> moved = new HashSet<>();
  private final double mean;

  /**
   * Prepares the moves.
   *
   * @param input the service
   * @param observed requests per second of each target
   * @param hottest hottest hash slots of each target
   * @param movable false for hash slots that moved recently
   */
  LoadPlacement(
      PlacementInput input,
      Map<TargetId, Double> observed,
      Map<TargetId, List<SlotLoad>> hottest,
      IntPredicate movable) {
    this.table = input.table();
    this.candidates =
        input.candidates().stream().filter(Candidate::active).filter(Candidate::healthy).toList();
    this.hottest = hottest;
    this.movable = movable;
    candidates.forEach(c -> loads.put(c.id(), observed.getOrDefault(c.id(), 0.0)));
    double total = loads.values().stream().mapToDouble(Double::doubleValue).sum();
    int weights = candidates.stream().mapToInt(Candidate::weight).sum();
    this.mean = weights == 0 ? 0 : total / weights;
  }

  /**
   * Returns the ratio of the highest load per weight to the mean.
   *
   * @return the ratio, 1 when the load is too low to compare
   */
  double imbalance() {
    return mean < MIN_MEAN_PER_SECOND ? 1 : load(hottestTarget().orElseThrow()) / mean;
  }

  /**
   * Returns moves of the hottest useful hash slots until the imbalance is at the stop ratio.
   *
   * @param budget largest number of moves
   * @return the moves
   */
  List<Move> moves(int budget) {
    List<Move> moves = new ArrayList<>();
    while (moves.size() < budget && imbalance() > STOP_IMBALANCE) {
      Optional<Move> move = next();
      if (move.isEmpty()) {
        break;
      }
      moves.add(move.get());
    }
    return moves;
  }

  private Optional<Move> next() {
    Candidate donor = hottestTarget().orElseThrow();
    Candidate receiver = candidates.stream().min(byLoad()).orElseThrow();
    double before = load(donor);
    Optional<SlotLoad> useful =
        hottest.getOrDefault(donor.id(), List.of()).stream()
            .filter(slot -> isMovable(slot, donor.id()))
            .filter(slot -> loadWith(receiver, slot.requestsPerSecond()) < before * GAIN)
            .max(Comparator.comparingDouble(SlotLoad::requestsPerSecond));
    return useful.map(slot -> move(slot, donor, receiver, before));
  }

  private Move move(SlotLoad slot, Candidate donor, Candidate receiver, double before) {
    String reason =
        "load: %s has %.1f requests/s per slot, the mean is %.1f; hash slot %d has %.1f requests/s"
            .formatted(donor.id(), before, mean, slot.hashSlot(), slot.requestsPerSecond());
    loads.merge(donor.id(), -slot.requestsPerSecond(), Double::sum);
    loads.merge(receiver.id(), slot.requestsPerSecond(), Double::sum);
    moved.add(slot.hashSlot());
    return new Move(slot.hashSlot(), donor.id(), receiver.id(), reason);
  }

  private boolean isMovable(SlotLoad slot, TargetId donor) {
    int number = slot.hashSlot();
    return table.has(number)
        && donor.equals(table.ownerOrNull(number))
        && !table.handovers().contains(number)
        && !moved.contains(number)
        && slot.requestsPerSecond() > 0
        && movable.test(number);
  }

  private Optional<Candidate> hottestTarget() {
    return candidates.stream().max(byLoad());
  }

  private Comparator<Candidate> byLoad() {
    return Comparator.comparingDouble(this::load).thenComparing(Candidate::id);
  }

  private double load(Candidate candidate) {
    return loads.get(candidate.id()) / candidate.weight();
  }

  private double loadWith(Candidate candidate, double added) {
    return (loads.get(candidate.id()) + added) / candidate.weight();
  }
}
