package io.coltsfootwheel.keyspace;

/**
 * Range of numeric keys; both bounds are inclusive.
 *
 * @param from first key
 * @param to last key
 */
public record KeyRange(int from, int to) implements Comparable<KeyRange> {
  /** Highest key of a service. */
  public static final int MAX_KEY = 65_535;

  /** All keys of a service. */
  public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

  /** Rejects bounds that are out of order or outside the key space. */
  public KeyRange {
    if (from < 0 || to > MAX_KEY || from > to) {
      throw new IllegalArgumentException("invalid range of keys: " + from + " to " + to);
    }
  }

  /**
   * Returns whether a key lies in this range.
   *
   * @param key the key
   * @return true if this range contains the key
   */
  public boolean contains(int key) {
    return from <= key && key <= to;
  }

  /**
   * Returns whether this range shares a key with another one.
   *
   * @param other the other range
   * @return true if the ranges overlap
   */
  public boolean overlaps(KeyRange other) {
    return from <= other.to && other.from <= to;
  }

  /**
   * Returns the keys that this range shares with another one.
   *
   * @param other a range that overlaps this one
   * @return the intersection
   */
  public KeyRange intersection(KeyRange other) {
    return new KeyRange(Math.max(from, other.from), Math.min(to, other.to));
  }

  /**
   * Returns the number of keys.
   *
   * @return at least 1
   */
  public int width() {
    return to - from + 1;
  }

  @Override
  public int compareTo(KeyRange other) {
    return Integer.compare(from, other.from);
  }

  @Override
  public String toString() {
    return from + "-" + to;
  }
}
