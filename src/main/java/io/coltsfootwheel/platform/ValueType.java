package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.model.ColtsfootwheelException;
import java.math.BigDecimal;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Type and range of a JSON value.
 *
 * @param description what is expected, for error messages
 * @param reader returns the Java value, or empty when the JSON value has another type or range
 * @param <T> Java type of the value
 */
record ValueType<T>(String description, Function<JsonValue, Optional<T>> reader) {
  static ValueType<Boolean> flag() {
    return of("true or false", JsonNode::isBoolean, JsonNode::booleanValue);
  }

  static ValueType<String> text() {
    return of("a text", JsonNode::isTextual, JsonNode::textValue);
  }

  /** Returns the type of texts that a parser accepts; the parser throws for others. */
  static <T> ValueType<T> parsedText(String description, Function<String, T> parser) {
    return new ValueType<>(
        description,
        value ->
            Optional.of(value.node()).filter(JsonNode::isTextual).flatMap(n -> parse(n, parser)));
  }

  /** Returns the type of texts that are a key of a map. */
  static <T> ValueType<T> choice(Map<String, T> valueByText) {
    return new ValueType<>(
        "one of " + String.join(", ", new TreeMap<>(valueByText).keySet()),
        value -> Optional.ofNullable(value.node().textValue()).map(valueByText::get));
  }

  /** Returns the type of texts that are the lower-case name of a constant. */
  static <E extends Enum<E>> ValueType<E> choice(Class<E> constants) {
    return choice(
        Arrays.stream(constants.getEnumConstants())
            .collect(Collectors.toMap(c -> c.name().toLowerCase(Locale.ROOT), c -> c)));
  }

  static ValueType<Long> integer(long min, long max) {
    return of(
        "an integer " + range(Long.toString(min), Long.toString(max), max == Long.MAX_VALUE),
        node ->
            node.isIntegralNumber()
                && node.canConvertToLong()
                && node.longValue() >= min
                && node.longValue() <= max,
        JsonNode::longValue);
  }

  static ValueType<Integer> integer32(int min, int max) {
    ValueType<Long> integer = integer(min, max);
    return new ValueType<>(
        integer.description(), value -> integer.reader().apply(value).map(Long::intValue));
  }

  /** Returns the type of integers and fractions, both bounds included. */
  static ValueType<Double> number(double min, double max) {
    return of(
        "a number " + range(plain(min), plain(max), max == Double.MAX_VALUE),
        node -> node.isNumber() && node.doubleValue() >= min && node.doubleValue() <= max,
        JsonNode::doubleValue);
  }

  static ValueType<JsonValue> object() {
    return new ValueType<>(
        "an object", value -> Optional.of(value).filter(v -> v.node().isObject()));
  }

  static ValueType<List<JsonValue>> list() {
    return new ValueType<>(
        "a list",
        value -> Optional.of(value).filter(v -> v.node().isArray()).map(JsonValue::elements));
  }

  static ValueType<List<JsonValue>> nonEmptyList() {
    return new ValueType<>(
        "a list that is not empty",
        value -> list().reader().apply(value).filter(elements -> !elements.isEmpty()));
  }

  /** Returns the type of lists with a fixed number of elements. */
  static ValueType<List<JsonValue>> row(int size) {
    return new ValueType<>(
        "a list of " + size,
        value -> list().reader().apply(value).filter(elements -> elements.size() == size));
  }

  private static <T> ValueType<T> of(
      String description, Predicate<JsonNode> accepts, Function<JsonNode, T> read) {
    return new ValueType<>(
        description, value -> Optional.of(value.node()).filter(accepts).map(read));
  }

  private static <T> Optional<T> parse(JsonNode node, Function<String, T> parser) {
    try {
      return Optional.of(parser.apply(node.textValue()));
    } catch (ColtsfootwheelException e) {
      return Optional.empty();
    }
  }

  /** Returns a number without an exponent or trailing zeros, as an operator would write it. */
  static String plain(double value) {
    return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
  }

  private static String range(String min, String max, boolean unbounded) {
    return unbounded ? "of at least " + min : "from " + min + " to " + max;
  }
}
