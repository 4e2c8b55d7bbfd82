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
 * Hash slots of one target as its dispatcher sees them.
 *
 * <p>Arrays instead of look-ups in the view keep the check before each send below 100 ns.
 */
final class SlotTable {
  private static final int MAX_HOTTEST = 8;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TargetId target;
  private final ServiceName service;
  private final long[] ownershipFences;
  private final long[] ownedSinceNanos;
  private final boolean[] inHandover;
  private final int[] open;
  private final int[] sentSinceReport;
  private long heldFrom = Long.MAX_VALUE;

  SlotTable(TargetId target, ServiceName service, int hashSlots) {
    this.target = target;
    this.service = service;
    this.ownershipFences = new long[hashSlots];
    this.ownedSinceNanos = new long[hashSlots];
    this.inHandover = new boolean[hashSlots];
    this.open = new int[hashSlots];
    this.sentSinceReport = new int[hashSlots];
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
   * Holds requests for slots in handover that are owned since this fence or later; this never
   * shrinks, because a slot may already have been reported as released.
   */
  void holdFrom(long ownershipFence) {
    heldFrom = Math.min(heldFrom, ownershipFence);
  }

  /** Tells whether the dispatcher may release a slot to its next owner, so it sends nothing. */
  boolean isInHandover(OptionalInt slot) {
    return slot.isPresent()
        && inHandover[slot.getAsInt()]
        && ownershipFences[slot.getAsInt()] >= heldFrom;
  }

  /** Returns the fence of the ownership, 0 when the slot is unkeyed, unknown or not owned. */
  long ownershipFence(OptionalInt slot) {
    if (slot.isEmpty() || slot.getAsInt() < 0 || slot.getAsInt() >= ownershipFences.length) {
      return 0;
    }
    return ownershipFences[slot.getAsInt()];
  }

  long ownedSinceNanos(OptionalInt slot) {
    return slot.isEmpty() ? Long.MIN_VALUE : ownedSinceNanos[slot.getAsInt()];
  }

  /** Counts a request as sent; it stays open until {@link #closed}. */
  void sent(OptionalInt slot) {
    if (slot.isPresent()) {
      open[slot.getAsInt()]++;
      sentSinceReport[slot.getAsInt()]++;
    }
  }

  void closed(OptionalInt slot) {
    if (slot.isPresent()) {
      open[slot.getAsInt()]--;
    }
  }

  /** Tells whether the target owns a slot since before a dispatch fence. */
  boolean ownsSlotFromBefore(Fence dispatchFence) {
    return Arrays.stream(ownershipFences).anyMatch(f -> f > 0 && f < dispatchFence.value());
  }

  /**
   * Returns the slots in handover with nothing open.
   *
   * @param minOwnershipFence slots owned since before this fence are left out
   */
  List<Integer> releasable(long minOwnershipFence) {
    List<Integer> result = new ArrayList<>();
    for (int slot = 0; slot < inHandover.length; slot++) {
      if (inHandover[slot] && open[slot] == 0 && ownershipFences[slot] >= minOwnershipFence) {
        result.add(slot);
      }
    }
    return result;
  }

  /** Returns the slots with the highest load since the last call and starts a new interval. */
  List<SlotLoad> takeHottest(long intervalNanos) {
    List<SlotLoad> loads = new ArrayList<>();
    for (int slot = 0; slot < sentSinceReport.length; slot++) {
      if (sentSinceReport[slot] > 0) {
        double perSecond = sentSinceReport[slot] * NANOS_PER_SECOND / Math.max(1, intervalNanos);
        loads.add(new SlotLoad(slot, perSecond));
      }
    }
    Arrays.fill(sentSinceReport, 0);
    loads.sort(Comparator.comparingDouble(SlotLoad::requestsPerSecond).reversed());
    return loads.subList(0, Math.min(MAX_HOTTEST, loads.size()));
  }
}
