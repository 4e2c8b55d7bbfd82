package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WarmupPolicy;
import io.coltsfootwheel.routing.WeightedService;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.StreamSupport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random changes of valid documents: each is refused, or in force as it was written. */
class ConfigurationMutationTest {
  private static final int MUTANTS = 5_000;

  private static final List<String> ODD =
      List.of(
          "null",
          "true",
          "false",
          "\"\"",
          "\"yes\"",
          "\"\\u0000\"",
          "\"\\ud800\"",
          "0",
          "-1",
          "1",
          "1.0",
          "0.10",
          "1e999",
          "99999999999999999999",
          "[]",
          "[null]",
          "[[]]",
          "{}",
          "\"r12\"",
          "{\"a\":1}",
          "\"huvo11a\"",
          "[\"huvo11a\"]",
          "\"limits\"",
          "\"routes\"",
          "\"/\"");

  private static final List<String> ODD_BYTES =
      List.of("", "\"", ",", ":", "{", "}", "[", "]", "0", "-", ".", "e", "\\", "\u00e9", "\ufeff");

  private final Configuration base =
      applied(
          new Configuration(5, List.of(), List.of()),
          ConfigurationJson.parseComplete(
              ConfigurationExamples.COMPLETE_BASE,
              ConfigurationExamples.bytes(ConfigurationExamples.COMPLETE)));

  private static Configuration applied(Configuration base, ConfigurationChange change) {
    return ((ChangeOutcome.Applicable) base.evaluate(change)).next();
  }

  /** Guards against a configuration that is acknowledged and in force only in part. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void mutatedConfigurationIsRefusedOrInForceAsWritten(long seed) {
    Random random = new Random(seed);
    Configuration before = new Configuration(5, List.of(), List.of());
    int accepted = 0;
    for (int i = 0; i < MUTANTS; i++) {
      byte[] body = mutant(ConfigurationExamples.COMPLETE, random);
      Optional<Configuration> after =
          accepted(before, () -> ConfigurationJson.parseComplete("r5", body));
      if (after.isPresent()) {
        accepted++;
        ObjectNode written = ConfigurationExamples.json(text(body));
        assertInForce(after.get(), written, List.copyOf(items(written.get("resources")).values()));
      }
    }
    assertThat(accepted).isPositive();
  }

  /** Guards against a patch that is acknowledged and in force only in part. */
  @ParameterizedTest
  @ValueSource(longs = {3, 4})
  void mutatedPatchIsRefusedOrInForceAsWritten(long seed) {
    Random random = new Random(seed);
    int accepted = 0;
    for (int i = 0; i < MUTANTS; i++) {
      byte[] body = mutant(ConfigurationExamples.PATCH, random);
      Optional<Configuration> after =
          accepted(base, () -> ConfigurationJson.parsePatch("r7", body));
      if (after.isPresent()) {
        accepted++;
        ObjectNode written = ConfigurationExamples.json(text(body));
        assertInForce(after.get(), written, patched(written));
      }
    }
    assertThat(accepted).isPositive();
  }

  private static Optional<Configuration> accepted(
      Configuration base, Supplier<ConfigurationChange> reader) {
    try {
      return base.evaluate(reader.get()) instanceof ChangeOutcome.Applicable applicable
          ? Optional.of(applicable.next())
          : Optional.empty();
    } catch (ColtsfootwheelException e) {
      return Optional.empty();
    }
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Applies a patch to the documents of the base, without the code under test. */
  private static List<JsonNode> patched(ObjectNode patch) {
    Map<String, JsonNode> items =
        items(ConfigurationExamples.json(ConfigurationExamples.COMPLETE).get("resources"));
    patch
        .path("remove")
        .fields()
        .forEachRemaining(
            list -> list.getValue().forEach(n -> items.remove(list.getKey() + n.textValue())));
    items.putAll(items(patch.path("upsert").path("resources")));
    return List.copyOf(items.values());
  }

  private static Map<String, JsonNode> items(JsonNode resources) {
    Map<String, JsonNode> items = new LinkedHashMap<>();
    for (JsonNode resource : resources) {
      String type = resource.get("resourceType").textValue();
      String name = type.equals("limits") ? "" : resource.get("metadata").get("name").textValue();
      items.put(type + name, resource);
    }
    return items;
  }

  private static void assertInForce(
      Configuration configuration, ObjectNode written, List<JsonNode> items) {
    assertThat(configuration.version())
        .isEqualTo(Long.parseLong(written.get("version").textValue().substring(1)));
    assertThat(ConfigurationJson.write(configuration).get("resources"))
        .as("%s", written)
        .containsExactlyElementsOf(items);
    for (int i = 0; i < items.size(); i++) {
      assertDecoded(configuration.items().get(i), items.get(i).get("spec"));
    }
  }

  private static void assertDecoded(ConfigurationItem item, JsonNode spec) {
    item.route().ifPresent(route -> assertRoute(route, spec));
    item.service().ifPresent(service -> assertService(service, spec));
    item.limits()
        .ifPresent(
            limits ->
                assertThat(
                        List.of(
                            (long) limits.maxHeaderBytes(),
                            limits.maxBodyBytes(),
                            limits.headerTimeoutMillis(),
                            limits.idleTimeoutMillis()))
                    .containsExactly(
                        integer(spec, "maxHeaderBytes"),
                        integer(spec, "maxBodyBytes"),
                        integer(spec, "headerTimeoutMs"),
                        integer(spec, "idleTimeoutMs")));
  }

  private static void assertRoute(Route route, JsonNode spec) {
    assertThat(route.host()).isEqualTo(spec.get("hostname").textValue());
    assertThat(route.pathPrefix()).isEqualTo(spec.get("pathPrefix").textValue());
    assertThat(route.kind().name().toLowerCase(Locale.ROOT))
        .isEqualTo(spec.get("kind").textValue());
    assertThat(
            List.of(
                route.timeoutMillis(),
                route.targetLatencyMillis(),
                (long) route.priority(),
                (long) route.maxAttempts()))
        .containsExactly(
            integer(spec, "timeoutMs"),
            integer(spec, "targetLatencyMs"),
            integer(spec, "priority"),
            integer(spec, "maxAttempts"));
    assertThat(route.services())
        .extracting(service -> service.service().value())
        .isEqualTo(
            spec.has("split")
                ? spec.get("split").findValuesAsText("service")
                : List.of(spec.get("service").textValue()));
    if (spec.has("split")) {
      assertThat(route.services())
          .extracting(WeightedService::weight)
          .isEqualTo(
              StreamSupport.stream(spec.get("split").spliterator(), false)
                  .map(destination -> destination.get("weight").doubleValue())
                  .toList());
    }
  }

  private static void assertService(ServicePolicy service, JsonNode spec) {
    assertThat(service.keyed())
        .isEqualTo(spec.has("sharded") && spec.get("sharded").booleanValue());
    assertThat((long) service.maxConnections()).isEqualTo(integer(spec, "maxConnections"));
    assertThat(service.grantMethod().name().toLowerCase(Locale.ROOT))
        .isEqualTo(spec.has("grants") ? spec.get("grants").textValue() : "heartbeat");
    assertThat(service.warmup().map(WarmupPolicy::requestsPerSecond))
        .isEqualTo(Optional.ofNullable(spec.get("warmupPerS")).map(JsonNode::doubleValue));
  }

  private static long integer(JsonNode spec, String name) {
    assertThat(spec.get(name).isIntegralNumber()).as(name).isTrue();
    return spec.get(name).longValue();
  }

  private static byte[] mutant(String document, Random random) {
    String text = random.nextInt(4) == 0 ? mutatedText(document, random) : document;
    if (text.equals(document)) {
      ObjectNode root = ConfigurationExamples.json(document);
      for (int changes = 1 + random.nextInt(2); changes > 0; changes--) {
        mutate(containers(root), random);
      }
      text = root.toString();
    }
    return ConfigurationExamples.bytes(text);
  }

  private static String mutatedText(String document, Random random) {
    int from = random.nextInt(document.length());
    int to = Math.min(document.length(), from + random.nextInt(4));
    String odd = ODD_BYTES.get(random.nextInt(ODD_BYTES.size()));
    return document.substring(0, from) + odd + document.substring(to);
  }

  private static List<JsonNode> containers(JsonNode root) {
    List<JsonNode> containers = new ArrayList<>();
    containers.add(root);
    for (int i = 0; i < containers.size(); i++) {
      containers
          .get(i)
          .forEach(
              child -> containers.addAll(child.isContainerNode() ? List.of(child) : List.of()));
    }
    return containers;
  }

  private static void mutate(List<JsonNode> containers, Random random) {
    JsonNode container = containers.get(random.nextInt(containers.size()));
    JsonNode odd = ConfigurationExamples.value(ODD.get(random.nextInt(ODD.size())));
    if (container instanceof ArrayNode array) {
      mutate(array, odd, random);
    } else {
      mutate((ObjectNode) container, odd, random);
    }
  }

  private static void mutate(ArrayNode array, JsonNode odd, Random random) {
    int index = random.nextInt(array.size() + 1);
    switch (array.isEmpty() ? 0 : random.nextInt(4)) {
      case 0 -> array.insert(index, odd);
      case 1 -> array.remove(index);
      case 2 -> array.insert(index, array.get(random.nextInt(array.size())).deepCopy());
      default -> array.set(random.nextInt(array.size()), odd);
    }
  }

  private static void mutate(ObjectNode object, JsonNode odd, Random random) {
    List<String> names = new ArrayList<>();
    object.fieldNames().forEachRemaining(names::add);
    String name = names.isEmpty() ? "a" : names.get(random.nextInt(names.size()));
    switch (random.nextInt(4)) {
      case 0 -> object.remove(name);
      case 1 -> object.set(name + "s", Optional.ofNullable(object.remove(name)).orElse(odd));
      case 2 -> object.set("future", odd);
      default -> object.set(name, odd);
    }
  }
}
