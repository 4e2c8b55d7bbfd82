package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a plan held by customers.
 *
 * <p>Usage: {@code PlanName.of("standard")}.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record PlanName(@JsonValue String value) implements Comparable<PlanName> {
  /** Checks the value. */
  public PlanName {
    Identifiers.check("plan", value);
  }

  /**
   * Returns the name for a text.
   *
   * @param value the text
   * @return the name
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static PlanName of(String value) {
    return new PlanName(value);
  }

  @Override
  public int compareTo(PlanName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
