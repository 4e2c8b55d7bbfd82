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

/** Reads the announcement of a target; all bad fields are named in one exception. */
final class TargetSpecParser {
  private static final int MAX_COUNT = 100_000;
  private static final int MAX_INCARNATION = 128;

  private final JsonNode node;
  private final List<String> faults = new ArrayList<>();

  private TargetSpecParser(JsonNode node) {
    this.node = node;
  }

  /**
   * Parses an announcement.
   *
   * @throws ColtsfootwheelException of kind INVALID_REQUEST that names all bad fields
   */
  static TargetSpec parse(byte[] json) {
    JsonNode node = read(json);
    if (!node.isObject()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, "body is not a JSON object");
    }
    return new TargetSpecParser(node).spec();
  }

  private static JsonNode read(byte[] json) {
    try {
      return EdgeJson.MAPPER.readTree(json);
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  private TargetSpec spec() {
    TargetId id = text("id", TargetId::of);
    ServiceName service = text("service", ServiceName::of);
    Address address = text("address", Address::parse);
    AvailabilityZone zone = text("zone", AvailabilityZone::of);
    int slots = count("slots");
    int connections = count("connections");
    boolean checksFences = flag("checksFences");
    boolean keepsIdentities = flag("keepsIdentities");
    String incarnation = text("incarnation", TargetSpecParser::incarnation);
    if (!faults.isEmpty()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, String.join("; ", faults));
    }
    return new TargetSpec(
        id, service, address, zone, slots, connections, checksFences, keepsIdentities, incarnation);
  }

  private <T> T text(String name, Function<String, T> parse) {
    JsonNode value = node.path(name);
    if (!value.isTextual()) {
      faults.add(name + " must be a string");
      return null;
    }
    try {
      return parse.apply(value.textValue());
    } catch (ColtsfootwheelException e) {
      faults.add(name + " is not valid: '" + value.textValue() + "'");
      return null;
    }
  }

  private static String incarnation(String value) {
    if (value.isBlank() || value.length() > MAX_INCARNATION) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "incarnation");
    }
    return value;
  }

  private int count(String name) {
    JsonNode value = node.path(name);
    if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_COUNT) {
      faults.add(name + " must be an integer from 1 to " + MAX_COUNT);
      return 0;
    }
    return value.intValue();
  }

  /** Flags may be absent: a target that states nothing is treated as one without the feature. */
  private boolean flag(String name) {
    JsonNode value = node.path(name);
    if (value.isMissingNode()) {
      return false;
    }
    if (!value.isBoolean()) {
      faults.add(name + " must be true or false");
    }
    return value.booleanValue();
  }
}
