package io.coltsfootwheel.control;

import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Number of hash slots that each active target owns, and its share by weight.
 *
 * <p>A share is proportional to the weight of the target and rounded down or up. Targets that
 * already own more than the rounded-down share are rounded up first, which keeps the number of
 * moves to a minimum. A hash slot in handover counts for its receiver. Hash slots that moved for
 * load count neither as owned nor for the shares, because balancing would otherwise move them back.
 */
final class SlotShares {
  private final Map<TargetId, Integer> ownedCounts = new HashMap<>();
  private final Map<TargetId, Integer> shares = new HashMap<>();
  private final Map<TargetId, Candidate> active = new HashMap<>();
  private final PriorityQueue<Receiver> receivers =
      new PriorityQueue<>(
          Comparator.comparingInt(Receiver::deficit)
              .reversed()
              .thenComparingDouble(Receiver::ownedPerWeight)
              .thenComparing(Receiver::id));

  SlotShares(PlacementInput input) {
    for (Candidate candidate : input.candidates()) {
      if (candidate.active()) {
        active.put(candidate.id(), candidate);
        ownedCounts.put(candidate.id(), 0);
      }
    }
    int slotCount = countSlots(input.table());
    computeShares(input.candidates().stream().filter(Candidate::active).toList(), slotCount);
    active.values().stream()
        .filter(Candidate::healthy)
        .forEach(candidate -> receivers.add(receiver(candidate.id())));
  }

  /**
   * Counts the hash slots to be shared, and those that each active target owns or is to receive.
   *
   * @return the number of hash slots to be shared, without those that moved for load
   */
  private int countSlots(SlotOwnershipTable table) {
    int slotCount = 0;
    for (int slot = 0; slot < table.size(); slot++) {
      TargetId owner = effectiveOwner(table, slot);
      boolean isActive = owner != null && ownedCounts.containsKey(owner);
      if (isActive && movedForLoad(table, slot)) {
        continue;
      }
      slotCount++;
      if (isActive) {
        ownedCounts.merge(owner, 1, Integer::sum);
      }
    }
    return slotCount;
  }

  static boolean movedForLoad(SlotOwnershipTable table, int slot) {
    Handover handover = table.handovers().getOrNull(slot);
    return handover == null ? table.movedForLoad().contains(slot) : handover.forLoad();
  }

  private TargetId effectiveOwner(SlotOwnershipTable table, int slot) {
    Handover handover = table.handovers().getOrNull(slot);
    boolean receiverActive = handover != null && active.containsKey(handover.to());
    return receiverActive ? handover.to() : table.ownerOrNull(slot);
  }

  private void computeShares(List<Candidate> candidates, int slotCount) {
    long totalWeight = candidates.stream().mapToLong(Candidate::weight).sum();
    int remainder = slotCount;
    for (Candidate candidate : candidates) {
      int roundedDown = (int) ((long) slotCount * candidate.weight() / totalWeight);
      shares.put(candidate.id(), roundedDown);
      remainder -= roundedDown;
    }
    List<Candidate> byPrecedence = new ArrayList<>(candidates);
    byPrecedence.sort(
        Comparator.comparing(
                (Candidate candidate) -> owned(candidate.id()) <= share(candidate.id()))
            .thenComparing(candidate -> -((long) slotCount * candidate.weight() % totalWeight))
            .thenComparing(Candidate::id));
    byPrecedence.stream()
        .filter(candidate -> (long) slotCount * candidate.weight() % totalWeight != 0)
        .limit(remainder)
        .forEach(candidate -> shares.merge(candidate.id(), 1, Integer::sum));
  }

  int owned(TargetId target) {
    return ownedCounts.getOrDefault(target, 0);
  }

  int share(TargetId target) {
    return shares.getOrDefault(target, 0);
  }

  /** Tells whether an active target owns more than its share. */
  boolean isAboveShare(TargetId target) {
    return owned(target) > share(target);
  }

  /**
   * Returns the healthy active target that is furthest below its share, and counts one more hash
   * slot for it.
   *
   * @param onlyBelowShare true to return no target that already owns its share
   */
  Optional<TargetId> nextReceiver(boolean onlyBelowShare) {
    Receiver next = receivers.peek();
    if (next == null || (onlyBelowShare && next.deficit() <= 0)) {
      return Optional.empty();
    }
    receivers.poll();
    ownedCounts.merge(next.id(), 1, Integer::sum);
    receivers.add(receiver(next.id()));
    return Optional.of(next.id());
  }

  /** Tells whether a target is active and healthy. */
  boolean isHealthy(TargetId target) {
    Candidate candidate = active.get(target);
    return candidate != null && candidate.healthy();
  }

  /** Counts one hash slot less for an active target. */
  void decrementOwned(TargetId target) {
    ownedCounts.computeIfPresent(target, (id, count) -> count - 1);
  }

  private Receiver receiver(TargetId id) {
    double perWeight = (double) owned(id) / active.get(id).weight();
    return new Receiver(id, share(id) - owned(id), perWeight);
  }

  private record Receiver(TargetId id, int deficit, double ownedPerWeight) {}
}
