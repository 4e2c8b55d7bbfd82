package io.coltsfootwheel.platform;

/**
 * Field that each object must have.
 *
 * @param name name of the field
 * @param type type of its value
 * @param <T> Java type of its value
 */
record RequiredField<T>(String name, ValueType<T> type) implements Field<T> {}
