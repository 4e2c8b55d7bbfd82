package io.coltsfootwheel.control;

import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Pure functions that decide which target owns which hash slot. */
final class Placement {
  private Placement() {}

  /**
   * Move of one hash slot between two targets that serve.
   *
   * @param slot the hash slot
   * @param from present owner
   * @param to receiver
   * @param reason why
   */
  record Move(int slot, TargetId from, TargetId to, String reason) {}

  /**
   * Assigns every hash slot whose owner is missing, lost or gone.
   *
   * @return hash slots of each new owner; empty while no target is healthy
   */
  static Map<TargetId, List<Integer>> assignFree(PlacementInput input) {
    Set<TargetId> present =
        input.candidates().stream().map(Candidate::id).collect(Collectors.toSet());
    List<Integer> free = new ArrayList<>();
    SlotTable table = input.table();
    for (int slot = 0; slot < table.size(); slot++) {
      TargetId owner = table.ownerOrNull(slot);
      if (owner == null || !present.contains(owner) && !input.unreleased().contains(owner)) {
        free.add(slot);
      }
    }
    return free.isEmpty() ? Map.of() : assign(input, free);
  }

  private static Map<TargetId, List<Integer>> assign(PlacementInput input, List<Integer> free) {
    SlotShares shares = new SlotShares(input);
    Map<TargetId, List<Integer>> result = new TreeMap<>();
    for (int slot : free) {
      receiver(input.table(), slot, shares)
          .ifPresent(to -> result.computeIfAbsent(to, id -> new ArrayList<>()).add(slot));
    }
    return result;
  }

  private static Optional<TargetId> receiver(SlotTable table, int slot, SlotShares shares) {
    Optional<Handover> handover = table.handover(slot);
    if (handover.isPresent() && shares.isHealthy(handover.get().to())) {
      // The receiver of a handover is already counted as the owner.
      return handover.map(Handover::to);
    }
    return shares.receive(false);
  }

  /**
   * Moves hash slots away from draining targets and from targets above their share.
   *
   * @param limit largest number of moves
   * @return the moves, the least number that restores even shares when the limit allows
   */
  static List<Move> balance(PlacementInput input, int limit) {
    SlotShares shares = new SlotShares(input);
    Map<TargetId, Candidate> donors = new HashMap<>();
    input.candidates().stream()
        .filter(Candidate::healthy)
        .filter(c -> !c.active() || shares.isAbove(c.id()))
        .forEach(c -> donors.put(c.id(), c));
    List<Move> moves = new ArrayList<>();
    SlotTable table = input.table();
    for (int slot = 0; slot < table.size() && moves.size() < limit && !donors.isEmpty(); slot++) {
      Candidate donor = donorOf(table, slot, donors);
      if (donor == null || donor.active() && !shares.isAbove(donor.id())) {
        continue;
      }
      Optional<TargetId> to = shares.receive(donor.active());
      if (to.isPresent()) {
        moves.add(new Move(slot, donor.id(), to.get(), reason(donor, to.get(), shares)));
        shares.give(donor.id());
      }
    }
    return moves;
  }

  private static Candidate donorOf(SlotTable table, int slot, Map<TargetId, Candidate> donors) {
    TargetId owner = table.ownerOrNull(slot);
    Candidate donor = owner == null ? null : donors.get(owner);
    if (donor == null || table.handovers().contains(slot)) {
      return null;
    }
    return donor.active() && SlotShares.movedForLoad(table, slot) ? null : donor;
  }

  private static String reason(Candidate donor, TargetId to, SlotShares shares) {
    if (!donor.active()) {
      return donor.id() + " drains";
    }
    return "even shares: the share of %s is %d, that of %s is %d"
        .formatted(donor.id(), shares.share(donor.id()), to, shares.share(to));
  }

  /** Groups moves with the same owner, receiver and reason, in the order of their first move. */
  static List<List<Move>> grouped(List<Move> moves) {
    Map<List<Object>, List<Move>> groups = new LinkedHashMap<>();
    for (Move move : moves) {
      List<Object> key = List.of(move.from(), move.to(), move.reason());
      groups.computeIfAbsent(key, k -> new ArrayList<>()).add(move);
    }
    return List.copyOf(groups.values());
  }
}
