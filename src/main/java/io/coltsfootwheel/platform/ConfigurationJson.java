package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ItemKey;
import io.coltsfootwheel.routing.ItemType;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Converts the JSON configuration format of the platform to and from {@link Configuration}.
 *
 * <p>A configuration version is an {@code r} followed by a number, such as {@code r12}. A change is
 * read in full or refused: a field of another type, a missing field or an unknown part of the order
 * is an error, and none is dropped or replaced by a default.
 */
final class ConfigurationJson {
  static final FieldSet COMPLETE_FIELDS = new FieldSet();
  static final FieldSet PATCH_FIELDS = new FieldSet();
  static final FieldSet UPSERT_FIELDS = new FieldSet();
  static final FieldSet REMOVE_FIELDS = new FieldSet();

  private static final String VERSION_PREFIX = "r";

  /** Value of the If-Match header for the first configuration. */
  private static final String NO_VERSION = "0";

  private static final Pattern VERSION = Pattern.compile(VERSION_PREFIX + "[0-9]+");
  private static final ValueType<Long> VERSION_TYPE =
      ValueType.parsedText("'r' followed by a number above 0", ConfigurationJson::newVersion);

  private static final RequiredField<Long> COMPLETE_VERSION =
      COMPLETE_FIELDS.required("version", VERSION_TYPE);
  private static final RequiredField<List<JsonValue>> COMPLETE_ITEMS =
      COMPLETE_FIELDS.required("resources", ValueType.list());

  private static final RequiredField<Long> PATCH_VERSION =
      PATCH_FIELDS.required("version", VERSION_TYPE);
  private static final OptionalField<JsonValue> UPSERT =
      PATCH_FIELDS.optional("upsert", ValueType.object());
  private static final OptionalField<JsonValue> REMOVE =
      PATCH_FIELDS.optional("remove", ValueType.object());
  private static final OptionalField<List<JsonValue>> UPSERT_ITEMS =
      UPSERT_FIELDS.optional("resources", ValueType.list());
  private static final OptionalField<List<JsonValue>> REMOVED_ROUTES =
      REMOVE_FIELDS.optional("routes", ValueType.list());
  private static final OptionalField<List<JsonValue>> REMOVED_SERVICES =
      REMOVE_FIELDS.optional("services", ValueType.list());

  private ConfigurationJson() {}

  /**
   * Reads a change that replaces the whole configuration.
   *
   * @param baseVersion value of the If-Match header
   * @param body body of the call
   * @throws ColtsfootwheelException that names the path of the first field that cannot be read
   */
  static ConfigurationChange parseComplete(String baseVersion, byte[] body) {
    JsonValue root = JsonValue.root(JsonFields.parse(body), ErrorKind.INVALID_REQUEST);
    root.requireOnly(COMPLETE_FIELDS);
    List<ConfigurationItem> items = ItemJson.readAll(root.read(COMPLETE_ITEMS));
    if (items.stream().noneMatch(item -> item.key().type() == ItemType.LIMITS)) {
      throw root.unexpected("limits among the resources", "none");
    }
    return new ConfigurationChange(
        parseVersion(baseVersion),
        root.read(COMPLETE_VERSION),
        fingerprint("put", baseVersion, body),
        true,
        items,
        List.of());
  }

  /**
   * Reads a change of single items.
   *
   * @param baseVersion value of the If-Match header
   * @param body body of the call
   * @throws ColtsfootwheelException that names the path of the first field that cannot be read
   */
  static ConfigurationChange parsePatch(String baseVersion, byte[] body) {
    JsonValue root = JsonValue.root(JsonFields.parse(body), ErrorKind.INVALID_REQUEST);
    root.requireOnly(PATCH_FIELDS);
    Optional<JsonValue> upsert = root.read(UPSERT);
    Optional<JsonValue> remove = root.read(REMOVE);
    if (upsert.isEmpty() && remove.isEmpty()) {
      throw root.unexpected("upsert or remove", "neither");
    }
    return new ConfigurationChange(
        parseVersion(baseVersion),
        root.read(PATCH_VERSION),
        fingerprint("patch", baseVersion, body),
        false,
        upsert.map(ConfigurationJson::upsertedItems).orElse(List.of()),
        remove.map(ConfigurationJson::removedItems).orElse(List.of()));
  }

  static ObjectNode write(Configuration configuration) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("version", VERSION_PREFIX + Long.toString(configuration.version()));
    ArrayNode resources = root.putArray("resources");
    configuration.items().forEach(item -> resources.add(JsonFields.parse(item.document())));
    return root;
  }

  /**
   * Reads the value of an If-Match header.
   *
   * @param header the version, with or without quotation marks; 0 for the first configuration
   * @return number of the version
   */
  static long parseVersion(String header) {
    boolean quoted = header.length() > 1 && header.startsWith("\"") && header.endsWith("\"");
    String text = quoted ? header.substring(1, header.length() - 1) : header;
    return text.equals(NO_VERSION) ? 0 : versionNumber(text);
  }

  private static long newVersion(String text) {
    long version = versionNumber(text);
    if (version == 0) {
      throw JsonFields.invalid("version 0 is the empty configuration");
    }
    return version;
  }

  private static long versionNumber(String text) {
    try {
      if (VERSION.matcher(text).matches()) {
        return Long.parseLong(text.substring(VERSION_PREFIX.length()));
      }
    } catch (NumberFormatException e) {
      // Falls through to the error for all other texts.
    }
    throw JsonFields.invalid("version '" + text + "' is not 'r' followed by a number");
  }

  private static String fingerprint(String call, String baseVersion, byte[] body) {
    byte[] prefix = (call + " " + baseVersion + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] hashedBytes = new byte[prefix.length + body.length];
    System.arraycopy(prefix, 0, hashedBytes, 0, prefix.length);
    System.arraycopy(body, 0, hashedBytes, prefix.length, body.length);
    return DigestUtils.sha256Hex(hashedBytes);
  }

  private static List<ConfigurationItem> upsertedItems(JsonValue upsert) {
    upsert.requireOnly(UPSERT_FIELDS);
    return ItemJson.readAll(upsert.read(UPSERT_ITEMS).orElse(List.of()));
  }

  private static List<ItemKey> removedItems(JsonValue remove) {
    remove.requireOnly(REMOVE_FIELDS);
    Set<ItemKey> removals = new LinkedHashSet<>();
    remove.read(REMOVED_ROUTES).ifPresent(names -> addAll(removals, ItemType.ROUTE, names));
    remove.read(REMOVED_SERVICES).ifPresent(names -> addAll(removals, ItemType.SERVICE, names));
    return List.copyOf(removals);
  }

  private static void addAll(Set<ItemKey> removals, ItemType type, List<JsonValue> names) {
    for (JsonValue name : names) {
      if (!removals.add(new ItemKey(type, name.as(ValueType.text())))) {
        throw name.unexpected("each name once");
      }
    }
  }
}
