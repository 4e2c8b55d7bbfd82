package io.coltsfootwheel.platform;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ItemKey;
import io.coltsfootwheel.routing.ItemType;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the items of a configuration.
 *
 * <p>Unknown fields of {@code metadata} and {@code spec} are kept: an item is stored as the
 * operator sent it.
 */
final class ItemJson {
  static final FieldSet FIELDS = new FieldSet();
  static final FieldSet METADATA_FIELDS = new FieldSet();

  private static final RequiredField<ItemType> TYPE =
      FIELDS.required(
          "resourceType",
          ValueType.choice(
              Map.of(
                  "routes", ItemType.ROUTE,
                  "services", ItemType.SERVICE,
                  "limits", ItemType.LIMITS)));
  private static final RequiredField<JsonValue> METADATA =
      FIELDS.required("metadata", ValueType.object());
  private static final RequiredField<JsonValue> SPEC = FIELDS.required("spec", ValueType.object());

  private static final RequiredField<String> NAME =
      METADATA_FIELDS.required("name", ValueType.text());
  private static final RequiredField<ServiceName> SERVICE_NAME =
      new RequiredField<>(
          NAME.name(), ValueType.parsedText("the name of a service", ServiceName::of));

  private ItemJson() {}

  /** Reads a list of items, each of which occurs once. */
  static List<ConfigurationItem> readAll(List<JsonValue> resources) {
    List<ConfigurationItem> items = new ArrayList<>();
    Set<ItemKey> keys = new HashSet<>();
    for (JsonValue resource : resources) {
      ConfigurationItem item = read(resource.as(ValueType.object()));
      if (!keys.add(item.key())) {
        throw resource.unexpected(
            "each item once", "'" + item.key().name() + "' for the second time");
      }
      items.add(item);
    }
    return items;
  }

  private static ConfigurationItem read(JsonValue resource) {
    resource.requireOnly(FIELDS);
    JsonValue metadata = resource.read(METADATA);
    JsonValue spec = resource.read(SPEC);
    String document = document(resource);
    return switch (resource.read(TYPE)) {
      case ROUTE -> ConfigurationItem.of(RouteJson.read(metadata.read(NAME), spec), document);
      case SERVICE ->
          ConfigurationItem.of(ServiceJson.read(metadata.read(SERVICE_NAME), spec), document);
      case LIMITS -> ConfigurationItem.of(LimitsJson.read(spec), document);
    };
  }

  private static String document(JsonValue resource) {
    String document = resource.node().toString();
    if (!StandardCharsets.UTF_8.newEncoder().canEncode(document)) {
      throw resource.unexpected("Unicode texts", "half of a surrogate pair");
    }
    return document;
  }
}
