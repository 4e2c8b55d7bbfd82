package io.coltsfootwheel.platform;

/**
 * Field of a JSON object.
 *
 * @param <T> Java type of its value
 */
sealed interface Field<T> permits RequiredField, OptionalField {
  /** Returns the name of the field. */
  String name();

  /** Returns the type of its value. */
  ValueType<T> type();
}
