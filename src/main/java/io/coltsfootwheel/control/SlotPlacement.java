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
final class SlotPlacement {
  private SlotPlacement() {}

  /**
   * Move of one hash slot to another target while both serve.
   *
   * @param slot the hash slot
   * @param from present owner
   * @param to target that becomes the owner
   * @param reason reason of the move, kept as its explanation
   */
  record SlotMove(int slot, TargetId from, TargetId to, String reason) {}

  /**
   * Assigns the hash slots that have no owner or whose owner is LOST or GONE and cannot serve any
   * more.
   *
   * @return hash slots of each new owner; empty while no active target is healthy
   */
  static Map<TargetId, List<Integer>> assignFreeSlots(PlacementInput input) {
    Set<TargetId> serving =
        input.candidates().stream().map(Candidate::id).collect(Collectors.toSet());
    List<Integer> freeSlots = new ArrayList<>();
    SlotOwnershipTable table = input.table();
    for (int slot = 0; slot < table.size(); slot++) {
      TargetId owner = table.ownerOrNull(slot);
      if (owner == null || !serving.contains(owner) && !input.possiblyServing().contains(owner)) {
        freeSlots.add(slot);
      }
    }
    return freeSlots.isEmpty() ? Map.of() : assign(input, freeSlots);
  }

  private static Map<TargetId, List<Integer>> assign(
      PlacementInput input, List<Integer> freeSlots) {
    SlotShares shares = new SlotShares(input);
    Map<TargetId, List<Integer>> result = new TreeMap<>();
    for (int slot : freeSlots) {
      receiver(input.table(), slot, shares)
          .ifPresent(to -> result.computeIfAbsent(to, id -> new ArrayList<>()).add(slot));
    }
    return result;
  }

  private static Optional<TargetId> receiver(
      SlotOwnershipTable table, int slot, SlotShares shares) {
    Optional<Handover> handover = table.handover(slot);
    if (handover.isPresent() && shares.isHealthy(handover.get().to())) {
      // SlotShares already counts the receiver of a handover as the owner.
      return handover.map(Handover::to);
    }
    return shares.nextReceiver(false);
  }

  /**
   * Moves hash slots away from draining targets and from active targets that own more than their
   * share. Unhealthy targets neither give nor receive hash slots.
   *
   * @param limit largest number of moves
   * @return the moves; if the limit allows it, the smallest number of moves after which each target
   *     owns its share
   */
  static List<SlotMove> balance(PlacementInput input, int limit) {
    SlotShares shares = new SlotShares(input);
    Map<TargetId, Candidate> donors = new HashMap<>();
    input.candidates().stream()
        .filter(Candidate::healthy)
        .filter(candidate -> !candidate.active() || shares.isAboveShare(candidate.id()))
        .forEach(candidate -> donors.put(candidate.id(), candidate));
    List<SlotMove> moves = new ArrayList<>();
    SlotOwnershipTable table = input.table();
    for (int slot = 0; slot < table.size() && moves.size() < limit && !donors.isEmpty(); slot++) {
      Candidate donor = donorOf(table, slot, donors);
      if (donor == null || donor.active() && !shares.isAboveShare(donor.id())) {
        continue;
      }
      Optional<TargetId> to = shares.nextReceiver(donor.active());
      if (to.isPresent()) {
        moves.add(new SlotMove(slot, donor.id(), to.get(), reason(donor, to.get(), shares)));
        shares.decrementOwned(donor.id());
      }
    }
    return moves;
  }

  private static Candidate donorOf(
      SlotOwnershipTable table, int slot, Map<TargetId, Candidate> donors) {
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

  /** Groups moves with the same owner, receiver and reason, in the order of their first moves. */
  static List<List<SlotMove>> groupMoves(List<SlotMove> moves) {
    Map<List<Object>, List<SlotMove>> groups = new LinkedHashMap<>();
    for (SlotMove move : moves) {
      List<Object> key = List.of(move.from(), move.to(), move.reason());
      groups.computeIfAbsent(key, newKey -> new ArrayList<>()).add(move);
    }
    return List.copyOf(groups.values());
  }
}
