package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a customer.
 *
 * <p>Usage: {@code CustomerId.of("salon-almadies")}.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record CustomerId(@JsonValue String value) implements Comparable<CustomerId> {
  /** Checks the value. */
  public CustomerId {
    Identifiers.check("customer", value);
  }

  /**
   * Returns the name for a text.
   *
   * @param value the text
   * @return the name
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static CustomerId of(String value) {
    return new CustomerId(value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
