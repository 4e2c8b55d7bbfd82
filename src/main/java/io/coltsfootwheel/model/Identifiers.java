package io.coltsfootwheel.model;

import java.util.regex.Pattern;

/** Validates identifiers. */
final class Identifiers {
  private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

  private Identifiers() {}

  /**
   * Returns the value when it is a valid identifier.
   *
   * @param kind kind of the identifier, for the error message
   * @param value 1 to 63 letters, digits, dots, underscores or hyphens; starts with a letter or
   *     digit
   * @return the value
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} otherwise
   */
  static String check(String kind, String value) {
    if (value == null || !VALID.matcher(value).matches()) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE,
          kind + " '" + value + "' is not 1 to 63 letters, digits, '.', '_' or '-'");
    }
    return value;
  }
}
