package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an availability zone.
 *
 * <p>Usage: {@code AvailabilityZone.of("plateau")}.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {
  /** Checks the value. */
  public AvailabilityZone {
    Identifiers.check("availability zone", value);
  }

  /**
   * Returns the name for a text.
   *
   * @param value the text
   * @return the name
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static AvailabilityZone of(String value) {
    return new AvailabilityZone(value);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
