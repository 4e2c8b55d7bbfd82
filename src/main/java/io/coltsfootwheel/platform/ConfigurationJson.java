package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ItemKey;
import io.coltsfootwheel.routing.ItemType;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WeightedService;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Converts the JSON configuration format of the platform to and from {@link Configuration}.
 *
 * <p>A configuration version is an {@code r} followed by a number, such as {@code r12}.
 */
final class ConfigurationJson {
  private static final char VERSION_PREFIX = 'r';
  private static final int DEFAULT_MAX_ATTEMPTS = 1;
  private static final int DEFAULT_MAX_CONNECTIONS = 64;

  /** Keeps sums of weights finite. */
  private static final double MAX_WEIGHT = 1e9;

  private ConfigurationJson() {}

  static ConfigurationChange parseComplete(String baseVersion, byte[] body) {
    JsonNode root = JsonFields.parse(body);
    return new ConfigurationChange(
        parseVersion(baseVersion),
        parseVersion(JsonFields.text(root, "version")),
        fingerprint("put", baseVersion, body),
        true,
        parseItems(JsonFields.list(root, "resources")),
        List.of());
  }

  static ConfigurationChange parsePatch(String baseVersion, byte[] body) {
    JsonNode root = JsonFields.parse(body);
    JsonNode upsert = root.path("upsert");
    List<ItemKey> removals = new ArrayList<>();
    Iterator<Map.Entry<String, JsonNode>> lists = root.path("remove").fields();
    while (lists.hasNext()) {
      Map.Entry<String, JsonNode> list = lists.next();
      for (JsonNode name : list.getValue()) {
        removals.add(new ItemKey(parseType(list.getKey()), name.asText()));
      }
    }
    return new ConfigurationChange(
        parseVersion(baseVersion),
        parseVersion(JsonFields.text(root, "version")),
        fingerprint("patch", baseVersion, body),
        false,
        upsert.has("resources") ? parseItems(JsonFields.list(upsert, "resources")) : List.of(),
        removals);
  }

  static ObjectNode write(Configuration configuration) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("version", VERSION_PREFIX + Long.toString(configuration.version()));
    ArrayNode resources = root.putArray("resources");
    configuration.items().forEach(item -> resources.add(JsonFields.parse(item.document())));
    return root;
  }

  static long parseVersion(String text) {
    String digits = text.replace("\"", "").trim();
    if (!digits.isEmpty() && digits.charAt(0) == VERSION_PREFIX) {
      digits = digits.substring(1);
    }
    try {
      return Long.parseLong(digits);
    } catch (NumberFormatException e) {
      throw JsonFields.invalid("version '" + text + "' is not 'r' followed by a number");
    }
  }

  private static String fingerprint(String call, String baseVersion, byte[] body) {
    byte[] prefix = (call + " " + baseVersion + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] hashedBytes = new byte[prefix.length + body.length];
    System.arraycopy(prefix, 0, hashedBytes, 0, prefix.length);
    System.arraycopy(body, 0, hashedBytes, prefix.length, body.length);
    return DigestUtils.sha256Hex(hashedBytes);
  }

  private static List<ConfigurationItem> parseItems(JsonNode resources) {
    List<ConfigurationItem> items = new ArrayList<>();
    Set<ItemKey> keys = new HashSet<>();
    for (JsonNode resource : resources) {
      ConfigurationItem item = parseItem(resource);
      if (!keys.add(item.key())) {
        throw JsonFields.invalid("item " + item.key().name() + " is listed twice");
      }
      items.add(item);
    }
    return items;
  }

  private static ConfigurationItem parseItem(JsonNode resource) {
    String document = resource.toString();
    JsonNode spec = resource.path("spec");
    return switch (parseType(JsonFields.text(resource, "resourceType"))) {
      case ROUTE -> ConfigurationItem.of(route(name(resource), spec), document);
      case SERVICE -> ConfigurationItem.of(service(name(resource), spec), document);
      case LIMITS -> ConfigurationItem.of(limits(spec), document);
    };
  }

  private static String name(JsonNode resource) {
    return JsonFields.text(resource.path("metadata"), "name");
  }

  private static ItemType parseType(String text) {
    return switch (text) {
      case "routes" -> ItemType.ROUTE;
      case "services" -> ItemType.SERVICE;
      case "limits" -> ItemType.LIMITS;
      default -> throw JsonFields.invalid("resourceType " + text + " is unknown");
    };
  }

  private static Route route(String name, JsonNode spec) {
    return new Route(
        name,
        JsonFields.text(spec, "hostname"),
        JsonFields.text(spec, "pathPrefix"),
        parseKind(JsonFields.text(spec, "kind")),
        JsonFields.integer(spec, "timeoutMs"),
        spec.has("targetLatencyMs")
            ? JsonFields.integer(spec, "targetLatencyMs")
            : JsonFields.integer(spec, "timeoutMs"),
        integer32(spec, "priority", 0, Integer.MIN_VALUE),
        integer32(spec, "maxAttempts", DEFAULT_MAX_ATTEMPTS, 0),
        destinations(spec));
  }

  private static RouteKind parseKind(String text) {
    try {
      return RouteKind.valueOf(text.toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw JsonFields.invalid("kind " + text + " is unknown");
    }
  }

  private static List<WeightedService> destinations(JsonNode spec) {
    if (!spec.has("split")) {
      return List.of(new WeightedService(serviceName(spec), 1));
    }
    List<WeightedService> services = new ArrayList<>();
    for (JsonNode destination : JsonFields.list(spec, "split")) {
      services.add(new WeightedService(serviceName(destination), weight(destination)));
    }
    return services;
  }

  private static double weight(JsonNode destination) {
    double weight = JsonFields.number(destination, "weight");
    if (!(weight <= MAX_WEIGHT)) {
      throw JsonFields.invalid("field weight must be at most " + MAX_WEIGHT);
    }
    return weight;
  }

  private static int integer32(JsonNode spec, String name, int defaultValue, int min) {
    return (int) JsonFields.integer(spec, name, defaultValue, min, Integer.MAX_VALUE);
  }

  private static ServiceName serviceName(JsonNode parent) {
    return ServiceName.of(JsonFields.text(parent, "service"));
  }

  private static ServicePolicy service(String name, JsonNode spec) {
    return new ServicePolicy(
        ServiceName.of(name),
        spec.path("sharded").asBoolean(false),
        integer32(spec, "maxConnections", DEFAULT_MAX_CONNECTIONS, 0),
        grantMethod(spec));
  }

  private static GrantMethod grantMethod(JsonNode spec) {
    if (!spec.has("grants")) {
      return GrantMethod.HEARTBEAT;
    }
    String name = JsonFields.text(spec, "grants");
    return GrantMethod.find(name)
        .orElseThrow(() -> JsonFields.invalid("grants " + name + " is unknown"));
  }

  private static ClientLimits limits(JsonNode spec) {
    ClientLimits defaults = ClientLimits.DEFAULT;
    return new ClientLimits(
        integer32(spec, "maxHeaderBytes", defaults.maxHeaderBytes(), 1),
        nonNegative(spec, "maxBodyBytes", defaults.maxBodyBytes()),
        nonNegative(spec, "headerTimeoutMs", defaults.headerTimeoutMillis()),
        nonNegative(spec, "idleTimeoutMs", defaults.idleTimeoutMillis()));
  }

  private static long nonNegative(JsonNode spec, String name, long defaultValue) {
    return JsonFields.integer(spec, name, defaultValue, 0, Long.MAX_VALUE);
  }
}
