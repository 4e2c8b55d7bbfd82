package io.coltsfootwheel.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.IOException;

/** Reads typed fields of JSON documents; errors name the field that is missing or mistyped. */
final class JsonFields {
  /** Deeper than any message of the platform. */
  private static final int MAX_DEPTH = 64;

  /** A parsed token uses up to 20 times its bytes, so the size of the body alone is no bound. */
  private static final int MAX_TOKENS = 250_000;

  /** Reads messages, which may come from any program. */
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAX_DEPTH)
                          .maxTokenCount(MAX_TOKENS)
                          .build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Reads stored documents, which earlier versions accepted under other limits. */
  private static final ObjectMapper STORED_MAPPER = new ObjectMapper();

  private JsonFields() {}

  static JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node == null || !node.isObject()) {
        throw invalid("the body is not a JSON object");
      }
      return node;
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_REQUEST, "the body is not complete, valid JSON", e);
    }
  }

  static JsonNode parse(String document) {
    try {
      return STORED_MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVARIANT_VIOLATED, "stored configuration item is not valid JSON", e);
    }
  }

  static String text(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (!node.isTextual()) {
      throw invalid("field " + name + " must be a text value");
    }
    return node.asText();
  }

  static long integer(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw invalid("field " + name + " must be an integer");
    }
    return node.asLong();
  }

  static double number(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (!node.isNumber()) {
      throw invalid("field " + name + " must be a number");
    }
    return node.asDouble();
  }

  /**
   * Returns an optional integer.
   *
   * @param defaultValue result when the field is missing
   * @param min smallest valid value
   * @param max largest valid value
   */
  static long integer(JsonNode parent, String name, long defaultValue, long min, long max) {
    JsonNode node = parent.path(name);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    long value = integer(parent, name);
    if (value < min || value > max) {
      throw invalid("field " + name + " must be " + min + " to " + max);
    }
    return value;
  }

  /** Returns an optional list; a missing field is an empty list. */
  static JsonNode optionalList(JsonNode parent, String name) {
    return parent.path(name).isMissingNode() ? parent.path(name) : list(parent, name);
  }

  static JsonNode list(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (!node.isArray()) {
      throw invalid("field " + name + " must be a list");
    }
    return node;
  }

  static ColtsfootwheelException invalid(String reason) {
    return ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, reason);
  }
}
