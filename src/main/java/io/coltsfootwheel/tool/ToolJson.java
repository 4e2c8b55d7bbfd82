package io.coltsfootwheel.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Reads and writes JSON of the operators' interface, record files and the lists state. */
final class ToolJson {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .registerModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

  private ToolJson() {}

  static String line(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static String toPrettyJson(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /**
   * Parses a value.
   *
   * @throws ToolException with {@link ExitCode#FAILED} and the source in its message if the JSON is
   *     invalid
   */
  static <T> T read(String json, Class<T> type, String source) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw ToolException.of(
          ExitCode.FAILED,
          source + " is not a valid " + type.getSimpleName() + ": " + e.getOriginalMessage());
    }
  }
}
