package io.coltsfootwheel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;

/** TOML type of a setting, with the description used in faults. */
enum SettingType {
  TEXT("a string", JsonNode::isTextual),
  BOOLEAN("true or false", JsonNode::isBoolean),
  INTEGER("an integer", JsonNode::isIntegralNumber),
  DECIMAL("a number", JsonNode::isNumber),
  STRING_ARRAY("an array of strings", SettingType::isStringArray),
  TABLE("a table", JsonNode::isObject),
  TABLE_ARRAY("an array of tables", SettingType::isTableArray);

  private final String description;
  private final Predicate<JsonNode> accepts;

  SettingType(String description, Predicate<JsonNode> accepts) {
    this.description = description;
    this.accepts = accepts;
  }

  String description() {
    return description;
  }

  boolean accepts(JsonNode node) {
    return accepts.test(node);
  }

  private static boolean isStringArray(JsonNode node) {
    return node.isArray() && allMatch(node, JsonNode::isTextual);
  }

  private static boolean isTableArray(JsonNode node) {
    return node.isArray() && allMatch(node, JsonNode::isObject);
  }

  private static boolean allMatch(JsonNode array, Predicate<JsonNode> test) {
    for (JsonNode element : array) {
      if (!test.test(element)) {
        return false;
      }
    }
    return true;
  }
}
