package io.coltsfootwheel.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Fields that the reader of one kind of JSON object knows.
 *
 * <p>Usage: {@code RequiredField<Boolean> TLS = FIELDS.required("tls", ValueType.flag())}.
 */
final class FieldSet {
  private final List<Field<?>> fields = new ArrayList<>();

  <T> RequiredField<T> required(String name, ValueType<T> type) {
    RequiredField<T> field = new RequiredField<>(name, type);
    fields.add(field);
    return field;
  }

  <T> OptionalField<T> optional(String name, ValueType<T> type) {
    OptionalField<T> field = new OptionalField<>(name, type);
    fields.add(field);
    return field;
  }

  /** Returns the fields in the order in which they were added. */
  List<Field<?>> fields() {
    return List.copyOf(fields);
  }

  List<String> names() {
    return fields.stream().<String>map(Field::name).toList();
  }
}
