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
 * Reads the settings of one TOML table; a fault is logged and reading goes on without the value.
 */
final class TableReader {
  private final JsonNode table;
  private final String tablePath;
  private final String place;
  private final FaultLog faults;

  private TableReader(JsonNode table, String tablePath, String place, FaultLog faults) {
    this.table = table;
    this.tablePath = tablePath;
    this.place = place;
    this.faults = faults;
    checkNames();
  }

  static TableReader root(JsonNode root, FaultLog faults) {
    return new TableReader(root, "", "", faults);
  }

  TableReader table(Setting setting) {
    JsonNode node = value(setting).orElseGet(JsonNodeFactory.instance::objectNode);
    return new TableReader(node, setting.path(), name(setting), faults);
  }

  List<TableReader> tables(Setting setting) {
    List<TableReader> readers = new ArrayList<>();
    JsonNode array = value(setting).orElseGet(JsonNodeFactory.instance::arrayNode);
    for (int i = 0; i < array.size(); i++) {
      String element = name(setting) + "[" + i + "]";
      readers.add(new TableReader(array.get(i), setting.path() + "[]", element, faults));
    }
    return readers;
  }

  boolean has(Setting setting) {
    return table.has(setting.key());
  }

  /** Returns the name of a setting as faults show it, with indexes. */
  String name(Setting setting) {
    return place.isEmpty() ? setting.key() : place + "." + setting.key();
  }

  Optional<String> text(Setting setting) {
    return value(setting).map(JsonNode::asText).filter(text -> checkNotBlank(setting, text));
  }

  boolean flag(Setting setting) {
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
                name(setting),
                value + " is not a share",
                "write a number above 0 and below 1, such as 0.999"));
    return share;
  }

  List<String> names(Setting setting) {
    List<String> names = new ArrayList<>();
    value(setting).ifPresent(array -> array.forEach(node -> names.add(node.asText())));
    return names;
  }

  /** Reads an identifier; the function refuses invalid text with an exception. */
  <T> Optional<T> identifier(Setting setting, Function<String, T> parse) {
    return text(setting).flatMap(text -> parse(name(setting), text, parse));
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
      faults.add(name(setting), "'" + text.get() + "' is not known", "use " + setting.unit());
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
      // The fault below covers unreadable addresses and host names alike.
    }
    faults.add(
        name(setting),
        "'" + text + "' is not an IP address with a port",
        "write IP:port, such as 127.0.0.1:7400 or [::1]:7400");
    return Optional.empty();
  }

  private Optional<JsonNode> value(Setting setting) {
    JsonNode node = table.get(setting.key());
    if (node == null) {
      faults.check(
          !setting.isRequired(),
          name(setting),
          "is missing",
          "add it as " + setting.type().text() + unitText(setting));
      return Optional.empty();
    }
    if (!setting.type().accepts(node)) {
      faults.add(
          name(setting),
          node + " is not " + setting.type().text(),
          "write " + setting.type().text() + unitText(setting));
      return Optional.empty();
    }
    return Optional.of(node);
  }

  private boolean checkNotBlank(Setting setting, String text) {
    faults.check(!text.isBlank(), name(setting), "is empty", "give it a value or remove it");
    return !text.isBlank();
  }

  private boolean checkBounds(Setting setting, JsonNode node) {
    boolean within =
        node.canConvertToLong()
            && node.asLong() >= setting.minimum()
            && node.asLong() <= setting.maximum();
    faults.check(
        within,
        name(setting),
        node + " is out of bounds",
        "use " + setting.bound() + unitText(setting));
    return within;
  }

  private static String unitText(Setting setting) {
    return setting.unit().equals("-") ? "" : " (" + setting.unit() + ")";
  }

  private void checkNames() {
    List<Setting> known = Setting.ofTable(tablePath);
    table
        .fieldNames()
        .forEachRemaining(
            name -> {
              if (known.stream().noneMatch(setting -> setting.key().equals(name))) {
                String shown = place.isEmpty() ? name : place + "." + name;
                faults.add(shown, "is not a known setting", remedyFor(name, known));
              }
            });
  }

  private static String remedyFor(String name, List<Setting> known) {
    return known.stream()
        .filter(setting -> stem(setting.key()).equals(stem(name)))
        .findFirst()
        .map(setting -> "use '" + setting.key() + "' (unit: " + setting.unit() + ")")
        .orElseGet(
            () ->
                "remove it or use one of: "
                    + known.stream().map(Setting::key).collect(Collectors.joining(", ")));
  }

  /**
   * Returns a name without its unit, so that {@code x-seconds} is matched with {@code x-millis}.
   */
  private static String stem(String name) {
    return name.replaceAll("-(millis|milliseconds|ms|seconds|s|minutes|bytes|kib|mib|kb|mb)$", "");
  }
}
