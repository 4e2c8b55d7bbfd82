package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Fencing token that orders grants: the index of the log entry that made the grant. A later grant
 * always has a higher fence.
 *
 * <p>Usage: {@code if (request.fence().isOlderThan(granted)) refuse();}
 *
 * @param value the log index, 0 for no grant
 */
public record Fence(@JsonValue long value) implements Comparable<Fence> {
  /** Fence of no grant; lower than that of every grant. */
  public static final Fence NONE = new Fence(0);

  /**
   * Returns the fence for a log index.
   *
   * @param value the log index
   * @return the fence
   */
  @JsonCreator
  public static Fence of(long value) {
    return new Fence(value);
  }

  /**
   * Returns whether the grant of another fence is newer.
   *
   * @param other the fence to compare with
   * @return true when this fence is lower
   */
  public boolean isOlderThan(Fence other) {
    return value < other.value;
  }

  @Override
  public int compareTo(Fence other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
