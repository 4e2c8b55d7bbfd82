package io.coltsfootwheel.eventlog;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Event that waits to be written: its values are numbers, booleans and short texts, so that its
 * memory is known and it keeps no other object in use.
 *
 * @param name name of the event
 * @param fields values by field name
 * @param bytes estimated memory
 */
record QueuedEvent(String name, Map<String, Object> fields, long bytes) {
  /** Characters of a text that are written; the rest is left out. */
  static final int MAX_TEXT_LENGTH = 4 * 1024;

  private static final int EVENT_OVERHEAD_BYTES = 256;
  private static final int FIELD_OVERHEAD_BYTES = 64;

  /** Returns an event in this form, or a notice when a value has no text. */
  static QueuedEvent of(LogEvent event) {
    try {
      Map<String, Object> values = new LinkedHashMap<>();
      event.fields().forEach((field, value) -> values.put(field, simple(value)));
      return sized(event.name(), values);
    } catch (RuntimeException | Error e) {
      return failed(event.name(), e);
    }
  }

  /** Returns the notice that an event cannot be written. */
  static QueuedEvent failed(String event, Throwable error) {
    return sized("log.failed", Map.of("failed_event", event, "error", error.getClass().getName()));
  }

  private static QueuedEvent sized(String name, Map<String, Object> values) {
    long bytes = EVENT_OVERHEAD_BYTES;
    for (Object value : values.values()) {
      bytes += FIELD_OVERHEAD_BYTES + (value instanceof String text ? text.length() : 0);
    }
    return new QueuedEvent(name, values, bytes);
  }

  private static Object simple(Object value) {
    boolean isSimple =
        value instanceof Integer
            || value instanceof Long
            || value instanceof Double
            || value instanceof Boolean;
    return isSimple ? value : shortened(String.valueOf(value));
  }

  private static String shortened(String text) {
    return text.length() <= MAX_TEXT_LENGTH
        ? text
        : text.substring(0, MAX_TEXT_LENGTH) + "... (" + text.length() + " characters)";
  }
}
