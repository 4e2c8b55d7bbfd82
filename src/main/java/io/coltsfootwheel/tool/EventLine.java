package io.coltsfootwheel.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * One event of the log of a process.
 *
 * @param time time at which the process queued the event for writing
 * @param instance instance that wrote the event
 * @param event name of the event, such as {@code request.failed}
 * @param fields all fields of the line, including the three above
 */
record EventLine(Instant time, String instance, String event, JsonNode fields) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Parses a log line; text before the first brace, such as the prefix of a log collector, is
   * ignored.
   *
   * @param line line of the log
   * @return the event, or empty if the line is not a complete event
   */
  static Optional<EventLine> parse(String line) {
    int jsonStart = line.indexOf('{');
    if (jsonStart < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = JSON.readTree(line.substring(jsonStart));
      if (!fields.path("time").isTextual() || !fields.path("event").isTextual()) {
        return Optional.empty();
      }
      return Optional.of(
          new EventLine(
              Instant.parse(fields.path("time").asText()),
              fields.path("instance").asText(),
              fields.path("event").asText(),
              fields));
    } catch (JsonProcessingException | DateTimeException e) {
      // The caller counts and reports the lines that are not events.
      return Optional.empty();
    }
  }

  String text(String field) {
    return fields.path(field).asText();
  }

  boolean isOfRequest(String requestId) {
    return event.startsWith("request.") && text("request").equals(requestId);
  }
}
