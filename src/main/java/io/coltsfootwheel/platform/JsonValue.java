package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Value of a JSON document with its path.
 *
 * <p>A value of another type or range than expected is refused with an error such as {@code
 * resources[2].spec.sharded: expected true or false, got a text}. No value is replaced by a
 * default.
 */
final class JsonValue {
  private static final int MAX_SHOWN_LENGTH = 40;

  private final JsonNode node;
  private final String path;
  private final ErrorKind errorKind;

  private JsonValue(JsonNode node, String path, ErrorKind errorKind) {
    this.node = node;
    this.path = path;
    this.errorKind = errorKind;
  }

  /**
   * Returns the root of a document.
   *
   * @param node the root
   * @param errorKind kind of the errors about values of this document
   */
  static JsonValue root(JsonNode node, ErrorKind errorKind) {
    return new JsonValue(node, "", errorKind);
  }

  JsonNode node() {
    return node;
  }

  /** Returns the elements of a list; empty for a value of any other type. */
  List<JsonValue> elements() {
    List<JsonValue> elements = new ArrayList<>(node.size());
    for (int i = 0; i < node.size(); i++) {
      elements.add(new JsonValue(node.path(i), path + "[" + i + "]", errorKind));
    }
    return elements;
  }

  /**
   * Returns the value of a field.
   *
   * @throws ColtsfootwheelException when it is missing or of another type
   */
  <T> T read(RequiredField<T> field) {
    return member(field.name()).as(field.type());
  }

  /**
   * Returns the value of a field, or empty when it is missing.
   *
   * @throws ColtsfootwheelException when it is of another type
   */
  <T> Optional<T> read(OptionalField<T> field) {
    JsonValue member = member(field.name());
    return member.node.isMissingNode() ? Optional.empty() : Optional.of(member.as(field.type()));
  }

  /**
   * Returns this value as a type.
   *
   * @throws ColtsfootwheelException when it is of another type
   */
  <T> T as(ValueType<T> type) {
    return type.reader().apply(this).orElseThrow(() -> unexpected(type.description()));
  }

  /**
   * Checks that an object has no other fields.
   *
   * @throws ColtsfootwheelException that names the first other field
   */
  void requireOnly(FieldSet fields) {
    List<String> known = fields.names();
    Iterator<String> names = node.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!known.contains(name)) {
        throw member(shortened(name)).error("unknown field, expected " + String.join(", ", known));
      }
    }
  }

  /** Returns the error that this value is not what is expected. */
  ColtsfootwheelException unexpected(String expected) {
    return unexpected(expected, describe());
  }

  /** Returns the error that this value is not what is expected, with a description of it. */
  ColtsfootwheelException unexpected(String expected, String actual) {
    return error("expected " + expected + ", got " + actual);
  }

  private ColtsfootwheelException error(String fault) {
    return ColtsfootwheelException.of(errorKind, (path.isEmpty() ? "" : path + ": ") + fault);
  }

  private JsonValue member(String name) {
    return new JsonValue(node.path(name), path.isEmpty() ? name : path + "." + name, errorKind);
  }

  private String describe() {
    return switch (node.getNodeType()) {
      case STRING -> "the text " + shortened(node.toString());
      case NUMBER, BOOLEAN -> shortened(node.toString());
      case ARRAY -> "a list";
      case OBJECT -> "an object";
      case NULL -> "null";
      default -> "nothing";
    };
  }

  private static String shortened(String text) {
    return text.length() <= MAX_SHOWN_LENGTH ? text : text.substring(0, MAX_SHOWN_LENGTH) + "...";
  }
}
