package io.coltsfootwheel.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.IOException;

/** Reads typed fields of JSON documents; errors name the field that is missing or mistyped. */
final class JsonFields {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

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
      return MAPPER.readTree(document);
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

  static int integer32(JsonNode parent, String name) {
    long value = integer(parent, name);
    if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
      throw invalid("field " + name + " is out of range");
    }
    return (int) value;
  }

  static double number(JsonNode parent, String name) {
    JsonNode node = parent.path(name);
    if (!node.isNumber()) {
      throw invalid("field " + name + " must be a number");
    }
    return node.asDouble();
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
