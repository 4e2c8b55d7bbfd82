package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Optional;

/**
 * Immutable table of the owner, the ownership fence and the handover in progress of each hash slot
 * of a service.
 *
 * <p>Owners and fences are stored in blocks, and a change copies only the blocks that it touches:
 * one move in 65,536 hash slots copies about 3 KB.
 */
final class SlotOwnershipTable {
  private static final int BLOCK_BITS = 8;
  private static final int BLOCK_SIZE = 1 << BLOCK_BITS;
  private static final int BLOCK_MASK = BLOCK_SIZE - 1;

  private final int size;
  private final TargetId[][] owners;
  private final long[][] fences;
  private final SortedTable<Integer, Handover> handovers;

  /** Hash slots whose last change of owner balanced load, each with the value true. */
  private final SortedTable<Integer, Boolean> movedForLoad;

  private SlotOwnershipTable(
      int size,
      TargetId[][] owners,
      long[][] fences,
      SortedTable<Integer, Handover> handovers,
      SortedTable<Integer, Boolean> movedForLoad) {
    this.size = size;
    this.owners = owners;
    this.fences = fences;
    this.handovers = handovers;
    this.movedForLoad = movedForLoad;
  }

  static SlotOwnershipTable of(int size) {
    int blocks = (size + BLOCK_MASK) >> BLOCK_BITS;
    return new SlotOwnershipTable(
        size,
        new TargetId[blocks][BLOCK_SIZE],
        new long[blocks][BLOCK_SIZE],
        SortedTable.empty(),
        SortedTable.empty());
  }

  static SlotOwnershipTable of(TargetId[] owners, long[] fences) {
    SlotOwnershipTable table = of(owners.length);
    for (int slot = 0; slot < owners.length; slot++) {
      table.owners[slot >> BLOCK_BITS][slot & BLOCK_MASK] = owners[slot];
      table.fences[slot >> BLOCK_BITS][slot & BLOCK_MASK] = fences[slot];
    }
    return table;
  }

  int size() {
    return size;
  }

  boolean contains(int slot) {
    return slot >= 0 && slot < size;
  }

  Optional<TargetId> owner(int slot) {
    return Optional.ofNullable(ownerOrNull(slot));
  }

  /**
   * Returns the owner of a hash slot, or null when it has none. Avoids the Optional of {@link
   * #owner} on paths that scan all hash slots.
   */
  TargetId ownerOrNull(int slot) {
    return owners[slot >> BLOCK_BITS][slot & BLOCK_MASK];
  }

  long fence(int slot) {
    return fences[slot >> BLOCK_BITS][slot & BLOCK_MASK];
  }

  Optional<Handover> handover(int slot) {
    return handovers.get(slot);
  }

  SortedTable<Integer, Handover> handovers() {
    return handovers;
  }

  SortedTable<Integer, Boolean> movedForLoad() {
    return movedForLoad;
  }

  Optional<SlotOwnership> ownership(int slot) {
    return owner(slot)
        .map(
            owner ->
                new SlotOwnership(owner, Fence.of(fence(slot)), handover(slot).map(Handover::to)));
  }

  /**
   * Counts the hash slots that had another owner in an earlier table. Blocks that both tables share
   * are skipped.
   */
  int movedSince(SlotOwnershipTable earlier) {
    int commonSize = Math.min(size, earlier.size);
    int movedCount = 0;
    for (int start = 0; start < commonSize; start += BLOCK_SIZE) {
      TargetId[] earlierOwners = earlier.owners[start >> BLOCK_BITS];
      TargetId[] currentOwners = owners[start >> BLOCK_BITS];
      int length = earlierOwners == currentOwners ? 0 : Math.min(BLOCK_SIZE, commonSize - start);
      for (int i = 0; i < length; i++) {
        movedCount +=
            earlierOwners[i] != null && !earlierOwners[i].equals(currentOwners[i]) ? 1 : 0;
      }
    }
    return movedCount;
  }

  boolean owns(TargetId target) {
    for (int slot = 0; slot < size; slot++) {
      if (target.equals(ownerOrNull(slot))) {
        return true;
      }
    }
    return false;
  }

  /**
   * Makes a target the owner of hash slots and ends their handovers. Hash slots whose handover
   * balanced load are marked as moved for load; others lose that mark.
   */
  SlotOwnershipTable withOwner(List<Integer> slots, TargetId owner, long fence) {
    TargetId[][] newOwners = owners.clone();
    long[][] newFences = fences.clone();
    SortedTable<Integer, Handover> newHandovers = handovers;
    SortedTable<Integer, Boolean> newMovedForLoad = movedForLoad;
    for (int slot : slots) {
      int block = slot >> BLOCK_BITS;
      if (newOwners[block] == owners[block]) {
        newOwners[block] = owners[block].clone();
        newFences[block] = fences[block].clone();
      }
      newOwners[block][slot & BLOCK_MASK] = owner;
      newFences[block][slot & BLOCK_MASK] = fence;
      Handover endedHandover = newHandovers.getOrNull(slot);
      boolean forLoad = endedHandover != null && endedHandover.forLoad();
      newHandovers = newHandovers.without(slot);
      newMovedForLoad = forLoad ? newMovedForLoad.with(slot, true) : newMovedForLoad.without(slot);
    }
    return new SlotOwnershipTable(size, newOwners, newFences, newHandovers, newMovedForLoad);
  }

  SlotOwnershipTable withHandover(List<Integer> slots, Handover handover) {
    SortedTable<Integer, Handover> changed = handovers;
    for (int slot : slots) {
      changed = changed.with(slot, handover);
    }
    return new SlotOwnershipTable(size, owners, fences, changed, movedForLoad);
  }

  SlotOwnershipTable withoutHandover(List<Integer> slots) {
    SortedTable<Integer, Handover> changed = handovers;
    for (int slot : slots) {
      changed = changed.without(slot);
    }
    return new SlotOwnershipTable(size, owners, fences, changed, movedForLoad);
  }

  SlotOwnershipTable withMovedForLoad(List<Integer> slots) {
    SortedTable<Integer, Boolean> changed = movedForLoad;
    for (int slot : slots) {
      changed = changed.with(slot, true);
    }
    return new SlotOwnershipTable(size, owners, fences, handovers, changed);
  }
}
