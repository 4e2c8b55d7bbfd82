package io.coltsfootwheel.keyspace;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Immutable assignment of the keys of one service to owners, as non-overlapping ranges. */
public final class RangeTable {
  private static final RangeTable EMPTY = new RangeTable(List.of());

  private final List<OwnedRange> ranges;

  /** Ranges by owner, so that a search for one owner does not read the ranges of all. */
  private final Map<TargetId, List<OwnedRange>> rangesByOwner;

  private RangeTable(List<OwnedRange> ranges) {
    this.ranges = List.copyOf(ranges);
    this.rangesByOwner = new HashMap<>();
    this.ranges.forEach(
        r -> rangesByOwner.computeIfAbsent(r.owner(), o -> new ArrayList<>()).add(r));
  }

  /**
   * Returns a table in which no key has an owner.
   *
   * @return the table
   */
  public static RangeTable empty() {
    return EMPTY;
  }

  /**
   * Creates a table.
   *
   * @param ranges non-overlapping ranges in any order
   * @return the table
   */
  @JsonCreator
  public static RangeTable of(List<OwnedRange> ranges) {
    return new RangeTable(sorted(ranges));
  }

  /**
   * Returns the ranges.
   *
   * @return the ranges in key order
   */
  @JsonValue
  public List<OwnedRange> ranges() {
    return ranges;
  }

  /**
   * Returns the ranges of one owner.
   *
   * @param owner the owner
   * @return the ranges in key order
   */
  public List<OwnedRange> rangesOf(TargetId owner) {
    return Collections.unmodifiableList(rangesByOwner.getOrDefault(owner, List.of()));
  }

  /**
   * Finds the range of a key.
   *
   * @param key the key
   * @return the range, or empty when the key has no owner
   */
  public Optional<OwnedRange> find(int key) {
    return ranges.stream().filter(r -> r.range().contains(key)).findFirst();
  }

  /**
   * Returns the keys without owner.
   *
   * @return the keys as maximal ranges, in key order
   */
  public List<KeyRange> gaps() {
    List<KeyRange> gaps = new ArrayList<>();
    int next = 0;
    for (OwnedRange owned : ranges) {
      if (owned.range().from() > next) {
        gaps.add(new KeyRange(next, owned.range().from() - 1));
      }
      next = owned.range().to() + 1;
    }
    if (next <= KeyRange.MAX_KEY) {
      gaps.add(new KeyRange(next, KeyRange.MAX_KEY));
    }
    return gaps;
  }

  /**
   * Makes a target the owner of a range, and removes these keys from the ranges of other owners.
   *
   * @param owned the range with its new owner
   * @return the new table
   */
  public RangeTable with(OwnedRange owned) {
    List<OwnedRange> next = new ArrayList<>(withoutRange(owned.range()).ranges);
    next.add(owned);
    return new RangeTable(sorted(next));
  }

  /**
   * Joins adjacent ranges of one owner into one range, under the highest of their fences and
   * without a handover token. The owner holds all the keys already, so the highest fence is above
   * every fence under which another target held one of the keys.
   *
   * @param range the keys to join, all of which must belong to one owner
   * @return the new table, or this one when a key has no owner
   */
  public RangeTable withJoined(KeyRange range) {
    List<OwnedRange> parts = ranges.stream().filter(r -> r.range().overlaps(range)).toList();
    int width = parts.stream().mapToInt(r -> r.range().intersection(range).width()).sum();
    return width < range.width()
        ? this
        : parts.stream()
            .max(Comparator.comparing(OwnedRange::fence))
            .map(r -> with(new OwnedRange(range, r.owner(), r.fence(), "")))
            .orElse(this);
  }

  /**
   * Removes the owners of a range.
   *
   * @param range the keys
   * @return the new table
   */
  public RangeTable withoutRange(KeyRange range) {
    List<OwnedRange> next = new ArrayList<>();
    for (OwnedRange current : ranges) {
      if (!current.range().overlaps(range)) {
        next.add(current);
        continue;
      }
      if (current.range().from() < range.from()) {
        next.add(current.withBounds(current.range().from(), range.from() - 1));
      }
      if (current.range().to() > range.to()) {
        next.add(current.withBounds(range.to() + 1, current.range().to()));
      }
    }
    return new RangeTable(next);
  }

  /**
   * Removes all ranges of an owner.
   *
   * @param owner the owner
   * @return the new table
   */
  public RangeTable withoutOwner(TargetId owner) {
    return new RangeTable(ranges.stream().filter(r -> !r.owner().equals(owner)).toList());
  }

  /**
   * Sets the fence of all ranges of an owner, for a new incarnation of its process, and removes
   * their handover tokens.
   *
   * @param owner the owner
   * @param fence the fence
   * @return the new table
   */
  public RangeTable withFence(TargetId owner, Fence fence) {
    UnaryOperator<OwnedRange> renew =
        r -> r.owner().equals(owner) ? new OwnedRange(r.range(), owner, fence, "") : r;
    return new RangeTable(ranges.stream().map(renew).toList());
  }

  private static List<OwnedRange> sorted(List<OwnedRange> ranges) {
    return ranges.stream().sorted(Comparator.comparing(OwnedRange::range)).toList();
  }
}
