package io.coltsfootwheel.edge;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Parses the announcement of a target; one exception reports all invalid fields. */
final class TargetSpecParser {
  private static final int MAX_COUNT = 100_000;
  private static final int MAX_INCARNATION_LENGTH = 128;

  private final JsonNode node;
  private final List<String> errors = new ArrayList<>();

  private TargetSpecParser(JsonNode node) {
    this.node = node;
  }

  /**
   * Parses an announcement.
   *
   * @throws ColtsfootwheelException of kind INVALID_REQUEST that reports all invalid fields
   */
  static TargetSpec parse(byte[] json) {
    JsonNode node = parseJson(json);
    if (!node.isObject()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, "body is not a JSON object");
    }
    return new TargetSpecParser(node).readSpec();
  }

  private static JsonNode parseJson(byte[] json) {
    try {
      return EdgeJson.MAPPER.readTree(json);
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  private TargetSpec readSpec() {
    TargetId id = readText("id", TargetId::of);
    ServiceName service = readText("service", ServiceName::of);
    Address address = readText("address", Address::parseNumeric);
    AvailabilityZone zone = readText("zone", AvailabilityZone::of);
    int slots = readCount("slots");
    int connections = readCount("connections");
    boolean checksFences = readFlag("checksFences");
    boolean keepsIdentities = readFlag("keepsIdentities");
    String incarnation = readText("incarnation", TargetSpecParser::parseIncarnation);
    if (!errors.isEmpty()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, String.join("; ", errors));
    }
    return new TargetSpec(
        id, service, address, zone, slots, connections, checksFences, keepsIdentities, incarnation);
  }

  private <T> T readText(String name, Function<String, T> parse) {
    JsonNode value = node.path(name);
    if (!value.isTextual()) {
      errors.add(name + " must be a string");
      return null;
    }
    try {
      return parse.apply(value.textValue());
    } catch (ColtsfootwheelException e) {
      errors.add(name + " is not valid: '" + value.textValue() + "'");
      return null;
    }
  }

  private static String parseIncarnation(String value) {
    if (value.isBlank() || value.length() > MAX_INCARNATION_LENGTH) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "incarnation");
    }
    return value;
  }

  private int readCount(String name) {
    JsonNode value = node.path(name);
    if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_COUNT) {
      errors.add(name + " must be an integer from 1 to " + MAX_COUNT);
      return 0;
    }
    return value.intValue();
  }

  /** Reads an optional flag; a target that omits it is treated as not having the feature. */
  private boolean readFlag(String name) {
    JsonNode value = node.path(name);
    if (value.isMissingNode()) {
      return false;
    }
    if (!value.isBoolean()) {
      errors.add(name + " must be true or false");
    }
    return value.booleanValue();
  }
}
