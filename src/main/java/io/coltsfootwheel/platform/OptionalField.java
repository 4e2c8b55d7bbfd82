package io.coltsfootwheel.platform;

/**
 * Field that an object may omit; a field that is present as null is not omitted.
 *
 * @param name name of the field
 * @param type type of its value
 * @param <T> Java type of its value
 */
record OptionalField<T>(String name, ValueType<T> type) implements Field<T> {}
