package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Optional;

/**
 * Immutable table hash slot -> owner and ownership fence.
 *
 * <p>Both arrays are kept in blocks; a change copies only the blocks that it touches, so that one
 * move in 65,536 hash slots copies about 3 KB.
 */
final class SlotTable {
  private static final int BLOCK_BITS = 8;
  private static final int BLOCK = 1 << BLOCK_BITS;
  private static final int MASK = BLOCK - 1;

  private final int size;
  private final TargetId[][] owners;
  private final long[][] fences;
  private final SortedTable<Integer, Handover> handovers;
  private final SortedTable<Integer, Boolean> movedForLoad;

  private SlotTable(
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

  static SlotTable of(int size) {
    int blocks = (size + MASK) >> BLOCK_BITS;
    return new SlotTable(
        size,
        new TargetId[blocks][BLOCK],
        new long[blocks][BLOCK],
        SortedTable.empty(),
        SortedTable.empty());
  }

  static SlotTable of(TargetId[] owners, long[] fences) {
    SlotTable table = of(owners.length);
    for (int slot = 0; slot < owners.length; slot++) {
      table.owners[slot >> BLOCK_BITS][slot & MASK] = owners[slot];
      table.fences[slot >> BLOCK_BITS][slot & MASK] = fences[slot];
    }
    return table;
  }

  int size() {
    return size;
  }

  boolean has(int slot) {
    return slot >= 0 && slot < size;
  }

  Optional<TargetId> owner(int slot) {
    return Optional.ofNullable(ownerOrNull(slot));
  }

  /** Avoids the Optional on paths that scan all hash slots; callers stay inside the package. */
  TargetId ownerOrNull(int slot) {
    return owners[slot >> BLOCK_BITS][slot & MASK];
  }

  long fence(int slot) {
    return fences[slot >> BLOCK_BITS][slot & MASK];
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
        .map(o -> new SlotOwnership(o, Fence.of(fence(slot)), handover(slot).map(Handover::to)));
  }

  /** Counts the hash slots that had another owner; blocks that both tables share are skipped. */
  int movedSince(SlotTable before) {
    int common = Math.min(size, before.size);
    int moved = 0;
    for (int start = 0; start < common; start += BLOCK) {
      TargetId[] from = before.owners[start >> BLOCK_BITS];
      TargetId[] to = owners[start >> BLOCK_BITS];
      int length = from == to ? 0 : Math.min(BLOCK, common - start);
      for (int i = 0; i < length; i++) {
        moved += from[i] != null && !from[i].equals(to[i]) ? 1 : 0;
      }
    }
    return moved;
  }

  boolean owns(TargetId target) {
    for (int slot = 0; slot < size; slot++) {
      if (target.equals(ownerOrNull(slot))) {
        return true;
      }
    }
    return false;
  }

  /** Makes a target the owner with the fence; ends handovers of these hash slots. */
  SlotTable withOwner(List<Integer> slots, TargetId owner, long fence) {
    TargetId[][] newOwners = owners.clone();
    long[][] newFences = fences.clone();
    SortedTable<Integer, Handover> newHandovers = handovers;
    SortedTable<Integer, Boolean> newMoved = movedForLoad;
    for (int slot : slots) {
      int block = slot >> BLOCK_BITS;
      if (newOwners[block] == owners[block]) {
        newOwners[block] = owners[block].clone();
        newFences[block] = fences[block].clone();
      }
      newOwners[block][slot & MASK] = owner;
      newFences[block][slot & MASK] = fence;
      Handover ended = newHandovers.getOrNull(slot);
      boolean forLoad = ended != null && ended.forLoad();
      newHandovers = newHandovers.without(slot);
      newMoved = forLoad ? newMoved.with(slot, true) : newMoved.without(slot);
    }
    return new SlotTable(size, newOwners, newFences, newHandovers, newMoved);
  }

  SlotTable withHandover(List<Integer> slots, Handover handover) {
    SortedTable<Integer, Handover> changed = handovers;
    for (int slot : slots) {
      changed = changed.with(slot, handover);
    }
    return new SlotTable(size, owners, fences, changed, movedForLoad);
  }

  SlotTable withoutHandover(List<Integer> slots) {
    SortedTable<Integer, Handover> changed = handovers;
    for (int slot : slots) {
      changed = changed.without(slot);
    }
    return new SlotTable(size, owners, fences, changed, movedForLoad);
  }

  SlotTable withMovedForLoad(List<Integer> slots) {
    SortedTable<Integer, Boolean> changed = movedForLoad;
    for (int slot : slots) {
      changed = changed.with(slot, true);
    }
    return new SlotTable(size, owners, fences, handovers, changed);
  }
}
