package io.coltsfootwheel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;

/** TOML type of a setting. */
enum SettingType {
  TEXT("a string", JsonNode::isTextual),
  BOOLEAN("true or false", JsonNode::isBoolean),
  INTEGER("an integer", JsonNode::isIntegralNumber),
  DECIMAL("a number", JsonNode::isNumber),
  NAMES("an array of strings", SettingType::isTextArray),
  TABLE("a table", JsonNode::isObject),
  TABLES("an array of tables", SettingType::isTableArray);

  private final String text;
  private final Predicate<JsonNode> accepts;

  SettingType(String text, Predicate<JsonNode> accepts) {
    this.text = text;
    this.accepts = accepts;
  }

  String text() {
    return text;
  }

  boolean accepts(JsonNode node) {
    return accepts.test(node);
  }

  private static boolean isTextArray(JsonNode node) {
    return node.isArray() && all(node, JsonNode::isTextual);
  }

  private static boolean isTableArray(JsonNode node) {
    return node.isArray() && all(node, JsonNode::isObject);
  }

  private static boolean all(JsonNode array, Predicate<JsonNode> test) {
    for (JsonNode element : array) {
      if (!test.test(element)) {
        return false;
      }
    }
    return true;
  }
}
