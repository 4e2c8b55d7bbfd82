package io.coltsfootwheel.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an instance of the router.
 *
 * <p>Usage: {@code InstanceId.of("entry-1")}.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {
  /** Checks the value. */
  public InstanceId {
    Identifiers.check("instance", value);
  }

  /**
   * Returns the name for a text.
   *
   * @param value the text
   * @return the name
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the text is not valid
   */
  @JsonCreator
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
