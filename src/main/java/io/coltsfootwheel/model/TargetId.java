package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a target.
 *
 * <p>Usage: {@code TargetId.of("card-ledger-07")}.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {
  /** Checks the value. */
  public TargetId {
    Identifiers.check("target", value);
  }

  /**
   * Returns the name for a text.
   *
   * @param value the text
   * @return the name
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static TargetId of(String value) {
    return new TargetId(value);
  }

  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
