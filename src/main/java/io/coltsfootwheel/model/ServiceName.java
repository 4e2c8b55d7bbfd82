package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a service.
 *
 * <p>Usage: {@code ServiceName.of("card-ledger")}.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
  /** Checks the value. */
  public ServiceName {
    Identifiers.check("service", value);
  }

  /**
   * Returns the name for a text.
   *
   * @param value the text
   * @return the name
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static ServiceName of(String value) {
    return new ServiceName(value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
