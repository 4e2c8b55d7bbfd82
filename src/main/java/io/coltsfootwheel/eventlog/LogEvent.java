package io.coltsfootwheel.eventlog;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Event of the structured log: a name and ordered fields.
 *
 * <p>Usage: {@code LogEvent.of("target.registered").with("target", id)}.
 *
 * @param name name of the event, listed in docs/OPERATIONS.md
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
   * @param value integer, long, double or boolean; any other object is written as its string value
   * @return a new event
   */
  public LogEvent with(String field, Object value) {
    Map<String, Object> next = new LinkedHashMap<>(fields);
    next.put(field, value);
    return new LogEvent(name, next);
  }
}
