package io.coltsfootwheel.eventlog;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of the structured log: a name and fields in their order.
 *
 * <p>Usage: {@code LogEvent.of("target.registered").with("target", id)}.
 *
 * @param name name of the event as docs/OPERATIONS.md lists it
 * @param fields values by field name
 */
public record LogEvent(String name, Map<String, Object> fields) {
  /**
   * Returns an event without fields.
   *
   * @param name name of the event
   * @return the event
   */
  public static LogEvent of(String name) {
    return new LogEvent(name, Map.of());
  }

  /**
   * Returns the event with one more field.
   *
   * @param field name of the field
   * @param value number, boolean or any object whose text is meant
   * @return a new event
   */
  public LogEvent with(String field, Object value) {
    Map<String, Object> next = new LinkedHashMap<>(fields);
    next.put(field, value);
    return new LogEvent(name, next);
  }
}
