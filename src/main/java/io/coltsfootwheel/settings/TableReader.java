package io.coltsfootwheel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Reads the settings of one TOML table.
 *
 * <p>An invalid value adds a fault instead of an exception, so that all faults of the file are
 * collected.
 */
final class TableReader {
  private final JsonNode table;
  private final String tablePath;
  private final String displayPath;
  private final FaultCollector faults;

  private TableReader(JsonNode table, String tablePath, String displayPath, FaultCollector faults) {
    this.table = table;
    this.tablePath = tablePath;
    this.displayPath = displayPath;
    this.faults = faults;
    checkForUnknownSettings();
  }

  static TableReader root(JsonNode root, FaultCollector faults) {
    return new TableReader(root, "", "", faults);
  }

  TableReader table(Setting setting) {
    JsonNode node = value(setting).orElseGet(JsonNodeFactory.instance::objectNode);
    return new TableReader(node, setting.path(), displayName(setting), faults);
  }

  List<TableReader> tables(Setting setting) {
    List<TableReader> readers = new ArrayList<>();
    JsonNode array = value(setting).orElseGet(JsonNodeFactory.instance::arrayNode);
    for (int i = 0; i < array.size(); i++) {
      String elementPath = displayName(setting) + "[" + i + "]";
      readers.add(new TableReader(array.get(i), setting.path() + "[]", elementPath, faults));
    }
    return readers;
  }

  boolean has(Setting setting) {
    return table.has(setting.key());
  }

  /** Returns the full name of a setting as shown in faults, with the indexes of array elements. */
  String displayName(Setting setting) {
    return displayPath.isEmpty() ? setting.key() : displayPath + "." + setting.key();
  }

  Optional<String> text(Setting setting) {
    return value(setting).map(JsonNode::asText).filter(text -> checkNotBlank(setting, text));
  }

  boolean booleanValue(Setting setting) {
    return value(setting).map(JsonNode::asBoolean).orElse(false);
  }

  Optional<Integer> integer(Setting setting) {
    return value(setting).filter(node -> checkBounds(setting, node)).map(JsonNode::asInt);
  }

  Optional<Double> share(Setting setting) {
    Optional<Double> share = value(setting).map(JsonNode::asDouble);
    share.ifPresent(
        value ->
            faults.check(
                value > 0 && value < 1,
                displayName(setting),
                value + " is not a share",
                "write a number above 0 and below 1, such as 0.999"));
    return share;
  }

  List<String> strings(Setting setting) {
    List<String> strings = new ArrayList<>();
    value(setting).ifPresent(array -> array.forEach(node -> strings.add(node.asText())));
    return strings;
  }

  /** Reads an identifier; the parser throws {@link ColtsfootwheelException} on invalid text. */
  <T> Optional<T> identifier(Setting setting, Function<String, T> parse) {
    return text(setting).flatMap(text -> parse(displayName(setting), text, parse));
  }

  <T> Optional<T> parse(String name, String text, Function<String, T> parse) {
    try {
      return Optional.of(parse.apply(text));
    } catch (ColtsfootwheelException e) {
      faults.add(
          name,
          "'" + text + "' is not a valid name",
          "use 1 to 63 letters, digits, '.', '_' or '-'");
      return Optional.empty();
    }
  }

  <T> Optional<T> choice(Setting setting, Function<String, Optional<T>> parse) {
    Optional<String> text = text(setting);
    Optional<T> choice = text.flatMap(parse);
    if (text.isPresent() && choice.isEmpty()) {
      faults.add(
          displayName(setting), "'" + text.get() + "' is not known", "use " + setting.unit());
    }
    return choice;
  }

  Optional<Address> address(Setting setting) {
    return text(setting).flatMap(text -> parseAddress(setting, text));
  }

  private Optional<Address> parseAddress(Setting setting, String text) {
    try {
      Address address = Address.parse(text);
      if (NetUtil.isValidIpV4Address(address.host())
          || NetUtil.isValidIpV6Address(address.host())) {
        return Optional.of(address);
      }
    } catch (ColtsfootwheelException e) {
      // Falls through to the fault that also covers host names.
    }
    faults.add(
        displayName(setting),
        "'" + text + "' is not an IP address with a port",
        "write IP:port, such as 127.0.0.1:7400 or [::1]:7400");
    return Optional.empty();
  }

  private Optional<JsonNode> value(Setting setting) {
    JsonNode node = table.get(setting.key());
    if (node == null) {
      faults.check(
          !setting.isRequired(),
          displayName(setting),
          "is missing",
          "add it as " + setting.type().description() + unitText(setting));
      return Optional.empty();
    }
    if (!setting.type().accepts(node)) {
      faults.add(
          displayName(setting),
          node + " is not " + setting.type().description(),
          "write " + setting.type().description() + unitText(setting));
      return Optional.empty();
    }
    return Optional.of(node);
  }

  private boolean checkNotBlank(Setting setting, String text) {
    faults.check(!text.isBlank(), displayName(setting), "is empty", "set a value or remove it");
    return !text.isBlank();
  }

  private boolean checkBounds(Setting setting, JsonNode node) {
    boolean inBounds =
        node.canConvertToLong()
            && node.asLong() >= setting.minimum()
            && node.asLong() <= setting.maximum();
    faults.check(
        inBounds,
        displayName(setting),
        node + " is out of bounds",
        "use " + setting.boundsText() + unitText(setting));
    return inBounds;
  }

  private static String unitText(Setting setting) {
    return setting.unit().equals("-") ? "" : " (" + setting.unit() + ")";
  }

  private void checkForUnknownSettings() {
    List<Setting> tableSettings = Setting.ofTable(tablePath);
    table
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (tableSettings.stream().noneMatch(setting -> setting.key().equals(name))) {
                String displayName = displayPath.isEmpty() ? name : displayPath + "." + name;
                faults.add(displayName, "is not a known setting", remedyFor(name, tableSettings));
              }
            });
  }

  private static String remedyFor(String name, List<Setting> tableSettings) {
    return tableSettings.stream()
        .filter(setting -> withoutUnit(setting.key()).equals(withoutUnit(name)))
        .findFirst()
        .map(setting -> "use '" + setting.key() + "' (unit: " + setting.unit() + ")")
        .orElseGet(
            () ->
                "remove it or use one of: "
                    + tableSettings.stream().map(Setting::key).collect(Collectors.joining(", ")));
  }

  /**
   * Returns a setting name without its unit, so that the remedy for {@code x-seconds} suggests
   * {@code x-millis}.
   */
  private static String withoutUnit(String name) {
    return name.replaceAll("-(millis|milliseconds|ms|seconds|s|minutes|bytes|kib|mib|kb|mb)$", "");
  }
}
