package io.coltsfootwheel.keyspace;

/**
 * Range of numeric keys, both ends included.
 *
 * @param from first key
 * @param to last key
 */
public record KeyRange(int from, int to) implements Comparable<KeyRange> {
  /** Highest key of a service. */
  public static final int MAX_KEY = 65_535;

  /** All keys of a service. */
  public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

  /** Checks the order and the bounds. */
  public KeyRange {
    if (from < 0 || to > MAX_KEY || from > to) {
      throw new IllegalArgumentException("no range of keys: " + from + " to " + to);
    }
  }

  /**
   * Tells whether a key lies in this range.
   *
   * @param key the key
   * @return true when it does
   */
  public boolean contains(int key) {
    return from <= key && key <= to;
  }

  /**
   * Tells whether two ranges share a key.
   *
   * @param other the other range
   * @return true when they do
   */
  public boolean overlaps(KeyRange other) {
    return from <= other.to && other.from <= to;
  }

  /**
   * Returns the keys that two ranges share.
   *
   * @param other a range that overlaps this one
   * @return the common part
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
