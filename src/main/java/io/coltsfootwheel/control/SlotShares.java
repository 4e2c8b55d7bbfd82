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
 * Owned numbers and even shares of hash slots per active target.
 *
 * <p>A share is the target's part by weight, rounded down or up. The targets that already own more
 * than the rounded-down part are rounded up first, which makes the number of moves the least
 * possible. Hash slots that moved for load count neither as owned nor for the shares, because even
 * numbers would otherwise move them back.
 */
final class SlotShares {
  private final Map<TargetId, Integer> owned = new HashMap<>();
  private final Map<TargetId, Integer> shares = new HashMap<>();
  private final Map<TargetId, Candidate> active = new HashMap<>();
  private final PriorityQueue<Ranked> receivers =
      new PriorityQueue<>(
          Comparator.comparingInt(Ranked::deficit)
              .reversed()
              .thenComparingDouble(Ranked::ownedPerWeight)
              .thenComparing(Ranked::id));

  SlotShares(PlacementInput input) {
    for (Candidate candidate : input.candidates()) {
      if (candidate.active()) {
        active.put(candidate.id(), candidate);
        owned.put(candidate.id(), 0);
      }
    }
    int counted = count(input.table());
    computeShares(input.candidates().stream().filter(Candidate::active).toList(), counted);
    active.values().stream().filter(Candidate::healthy).forEach(c -> receivers.add(ranked(c.id())));
  }

  private int count(SlotTable table) {
    int counted = 0;
    for (int slot = 0; slot < table.size(); slot++) {
      TargetId owner = effectiveOwner(table, slot);
      boolean isActive = owner != null && owned.containsKey(owner);
      if (isActive && movedForLoad(table, slot)) {
        continue;
      }
      counted++;
      if (isActive) {
        owned.merge(owner, 1, Integer::sum);
      }
    }
    return counted;
  }

  static boolean movedForLoad(SlotTable table, int slot) {
    Handover handover = table.handovers().getOrNull(slot);
    return handover == null ? table.movedForLoad().contains(slot) : handover.forLoad();
  }

  private TargetId effectiveOwner(SlotTable table, int slot) {
    Handover handover = table.handovers().getOrNull(slot);
    boolean moves = handover != null && active.containsKey(handover.to());
    return moves ? handover.to() : table.ownerOrNull(slot);
  }

  private void computeShares(List<Candidate> candidates, int counted) {
    long weights = candidates.stream().mapToLong(Candidate::weight).sum();
    int left = counted;
    for (Candidate candidate : candidates) {
      int floor = (int) ((long) counted * candidate.weight() / weights);
      shares.put(candidate.id(), floor);
      left -= floor;
    }
    List<Candidate> order = new ArrayList<>(candidates);
    order.sort(
        Comparator.comparing((Candidate c) -> owned(c.id()) <= share(c.id()))
            .thenComparing(c -> -((long) counted * c.weight() % weights))
            .thenComparing(Candidate::id));
    order.stream()
        .filter(c -> (long) counted * c.weight() % weights != 0)
        .limit(left)
        .forEach(c -> shares.merge(c.id(), 1, Integer::sum));
  }

  int owned(TargetId target) {
    return owned.getOrDefault(target, 0);
  }

  int share(TargetId target) {
    return shares.getOrDefault(target, 0);
  }

  /** Tells whether an active target owns more than its share. */
  boolean isAbove(TargetId target) {
    return owned(target) > share(target);
  }

  /** Returns the healthy active target that lacks most, and counts one more hash slot for it. */
  Optional<TargetId> receive(boolean onlyBelowShare) {
    Ranked best = receivers.peek();
    if (best == null || (onlyBelowShare && best.deficit() <= 0)) {
      return Optional.empty();
    }
    receivers.poll();
    owned.merge(best.id(), 1, Integer::sum);
    receivers.add(ranked(best.id()));
    return Optional.of(best.id());
  }

  /** Tells whether a target is active and healthy. */
  boolean isHealthy(TargetId target) {
    Candidate candidate = active.get(target);
    return candidate != null && candidate.healthy();
  }

  /** Counts one hash slot less for a target. */
  void give(TargetId target) {
    owned.computeIfPresent(target, (id, n) -> n - 1);
  }

  private Ranked ranked(TargetId id) {
    double perWeight = (double) owned(id) / active.get(id).weight();
    return new Ranked(id, share(id) - owned(id), perWeight);
  }

  private record Ranked(TargetId id, int deficit, double ownedPerWeight) {}
}
