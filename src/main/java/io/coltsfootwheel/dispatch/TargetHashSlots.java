package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Ownership, handovers and load of the hash slots of one target, as known to its dispatcher.
 *
 * <p>Copies the ownerships of the view to arrays, so that the check before each send takes less
 * than 100 ns.
 */
final class TargetHashSlots {
  private static final int MAX_HOTTEST_SLOTS = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TargetId target;
  private final ServiceName service;
  private final long[] ownershipFences;
  private final long[] ownedSinceNanos;
  private final boolean[] inHandover;
  private final int[] unresolved;
  private final int[] sentInInterval;
  private long holdFromFence = Long.MAX_VALUE;

  TargetHashSlots(TargetId target, ServiceName service, int hashSlots) {
    this.target = target;
    this.service = service;
    this.ownershipFences = new long[hashSlots];
    this.ownedSinceNanos = new long[hashSlots];
    this.inHandover = new boolean[hashSlots];
    this.unresolved = new int[hashSlots];
    this.sentInInterval = new int[hashSlots];
  }

  void update(long nowNanos, RoutingView view) {
    for (int slot = 0; slot < ownershipFences.length; slot++) {
      Optional<SlotOwnership> ownership = view.ownership(service, slot);
      boolean owned = ownership.isPresent() && ownership.get().owner().equals(target);
      long fence = owned ? ownership.get().fence().value() : 0;
      if (fence != ownershipFences[slot]) {
        ownershipFences[slot] = fence;
        ownedSinceNanos[slot] = nowNanos;
      }
      inHandover[slot] = owned && ownership.get().handoverTo().isPresent();
    }
  }

  boolean isOwned(OptionalInt slot) {
    return slot.isEmpty() ? ownershipFences.length == 0 : ownershipFence(slot) > 0;
  }

  /**
   * Holds requests for hash slots in handover whose ownership has this fence or a later one. A
   * later call never raises the fence, because a slot may already have been reported as released.
   */
  void holdHandoversFrom(long ownershipFence) {
    holdFromFence = Math.min(holdFromFence, ownershipFence);
  }

  /**
   * Tells whether requests for a slot are held, because the slot may be released to its next owner.
   */
  boolean isHeldForHandover(OptionalInt slot) {
    return slot.isPresent()
        && inHandover[slot.getAsInt()]
        && ownershipFences[slot.getAsInt()] >= holdFromFence;
  }

  /** Returns whether a request for a slot can be sent: the slot is owned and not held. */
  boolean isSendable(OptionalInt slot) {
    return isOwned(slot) && !isHeldForHandover(slot);
  }

  /** Returns the fence of the ownership, 0 for no slot, an unknown one or one that is not owned. */
  long ownershipFence(OptionalInt slot) {
    if (slot.isEmpty() || slot.getAsInt() < 0 || slot.getAsInt() >= ownershipFences.length) {
      return 0;
    }
    return ownershipFences[slot.getAsInt()];
  }

  long ownedSinceNanos(OptionalInt slot) {
    return slot.isEmpty() ? Long.MIN_VALUE : ownedSinceNanos[slot.getAsInt()];
  }

  /** Counts a request as sent; it is unresolved until {@link #requestResolved}. */
  void requestSent(OptionalInt slot) {
    if (slot.isPresent()) {
      unresolved[slot.getAsInt()]++;
      sentInInterval[slot.getAsInt()]++;
    }
  }

  void requestResolved(OptionalInt slot) {
    if (slot.isPresent()) {
      unresolved[slot.getAsInt()]--;
    }
  }

  /** Tells whether the target has owned a slot since before the dispatch fence. */
  boolean ownsSlotSinceBefore(Fence dispatchFence) {
    return Arrays.stream(ownershipFences)
        .anyMatch(fence -> fence > 0 && fence < dispatchFence.value());
  }

  /**
   * Returns the slots in handover without unresolved requests.
   *
   * @param minOwnershipFence slots whose ownership has a lower fence are left out
   */
  List<Integer> releasable(long minOwnershipFence) {
    List<Integer> result = new ArrayList<>();
    for (int slot = 0; slot < inHandover.length; slot++) {
      if (inHandover[slot] && unresolved[slot] == 0 && ownershipFences[slot] >= minOwnershipFence) {
        result.add(slot);
      }
    }
    return result;
  }

  /**
   * Returns the slots with the highest load since the last call, at most {@value
   * #MAX_HOTTEST_SLOTS}, and resets the counts.
   */
  List<SlotLoad> takeHottest(long intervalNanos) {
    List<SlotLoad> loads = new ArrayList<>();
    for (int slot = 0; slot < sentInInterval.length; slot++) {
      if (sentInInterval[slot] > 0) {
        double requestsPerSecond =
            sentInInterval[slot] * NANOS_PER_SECOND / Math.max(1, intervalNanos);
        loads.add(new SlotLoad(slot, requestsPerSecond));
      }
    }
    Arrays.fill(sentInInterval, 0);
    loads.sort(Comparator.comparingDouble(SlotLoad::requestsPerSecond).reversed());
    return loads.subList(0, Math.min(MAX_HOTTEST_SLOTS, loads.size()));
  }
}
