package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Each field that the reader of configurations knows, with each wrong type. */
class ConfigurationFieldsTest {
  private static final String COMPLETE = ConfigurationExamples.COMPLETE;
  private static final String PATCH =
      ConfigurationExamples.PATCH.replace("[\"r-old\"]", "[\"r-old\"],\"services\":[\"s-old\"]");

  /** One value of each JSON type; a fraction is another type than an integer. */
  private static final List<String> VALUES =
      List.of("null", "true", "\"\\u0000\"", "7", "7.5", "[]", "[7]", "{}", "{\"a\":1}");

  /**
   * Kind of object in a configuration.
   *
   * @param fields fields that the reader knows
   * @param example example document
   * @param pointers JSON pointers to the examples of the object
   */
  private record ObjectKind(FieldSet fields, String example, List<String> pointers) {}

  private static final List<ObjectKind> OBJECTS =
      List.of(
          new ObjectKind(ConfigurationJson.COMPLETE_FIELDS, COMPLETE, List.of("")),
          new ObjectKind(ItemJson.FIELDS, COMPLETE, List.of("/resources/0", "/resources/4")),
          new ObjectKind(ItemJson.METADATA_FIELDS, COMPLETE, List.of("/resources/0/metadata")),
          new ObjectKind(
              RouteJson.FIELDS, COMPLETE, List.of("/resources/0/spec", "/resources/1/spec")),
          new ObjectKind(RouteJson.SPLIT_FIELDS, COMPLETE, List.of("/resources/1/spec/split/1")),
          new ObjectKind(ServiceJson.FIELDS, COMPLETE, List.of("/resources/2/spec")),
          new ObjectKind(LimitsJson.FIELDS, COMPLETE, List.of("/resources/4/spec")),
          new ObjectKind(ConfigurationJson.PATCH_FIELDS, PATCH, List.of("")),
          new ObjectKind(ConfigurationJson.UPSERT_FIELDS, PATCH, List.of("/upsert")),
          new ObjectKind(ConfigurationJson.REMOVE_FIELDS, PATCH, List.of("/remove")));

  /**
   * Document with one field that cannot be read.
   *
   * @param path path of the field, as errors show it
   * @param text the document
   */
  private record Unreadable(String path, String text) {
    @Override
    public String toString() {
      return path + " in " + text.hashCode();
    }
  }

  private static ConfigurationChange read(String text) {
    byte[] body = ConfigurationExamples.bytes(text);
    return text.contains("\"upsert\"") || text.contains("\"remove\"")
        ? ConfigurationJson.parsePatch(ConfigurationExamples.PATCH_BASE, body)
        : ConfigurationJson.parseComplete(ConfigurationExamples.COMPLETE_BASE, body);
  }

  /** Guards against the refusal of a configuration that the platform's page makes valid. */
  @Test
  void examplesOfThePageAreAccepted() {
    Configuration base = new Configuration(5, List.of(), List.of());
    Configuration complete = ((ChangeOutcome.Applicable) base.evaluate(read(COMPLETE))).next();
    assertThat(ConfigurationJson.write(complete).toString()).isEqualTo(COMPLETE);
    assertThat(complete.evaluate(read(ConfigurationExamples.PATCH)))
        .isInstanceOf(ChangeOutcome.Applicable.class);
    assertThat(read(PATCH).removals()).hasSize(2);
  }

  private static List<Unreadable> wrongTypes() {
    List<Unreadable> documents = new ArrayList<>();
    for (ObjectKind kind : OBJECTS) {
      for (Field<?> field : kind.fields().fields()) {
        int before = documents.size();
        kind.pointers().forEach(pointer -> addWrongTypes(documents, kind, pointer, field));
        assertThat(documents).as("examples of " + field.name()).hasSizeGreaterThan(before);
      }
    }
    return documents;
  }

  private static void addWrongTypes(
      List<Unreadable> documents, ObjectKind kind, String pointer, Field<?> field) {
    ObjectNode root = ConfigurationExamples.json(kind.example());
    ObjectNode object = (ObjectNode) root.at(pointer);
    JsonNode valid = object.path(field.name());
    if (valid.isMissingNode()) {
      return;
    }
    String path = (pointer + "/" + field.name()).substring(1);
    String shownPath = path.replaceAll("/(\\d+)", "[$1]").replace('/', '.');
    for (String text : VALUES) {
      JsonNode value = ConfigurationExamples.value(text);
      if (!isSameType(field, valid, value)) {
        object.set(field.name(), value);
        documents.add(new Unreadable(shownPath, root.toString()));
      }
    }
    if (field instanceof RequiredField) {
      object.remove(field.name());
      documents.add(new Unreadable(shownPath, root.toString()));
    }
  }

  private static boolean isSameType(Field<?> field, JsonNode valid, JsonNode value) {
    boolean fraction = value.isNumber() && !value.isIntegralNumber();
    boolean takesFractions = field.type().description().startsWith("a number");
    return valid.getNodeType() == value.getNodeType() && (!fraction || takesFractions);
  }

  /** Guards against a field that is read as something else than the operator wrote. */
  @ParameterizedTest
  @MethodSource("wrongTypes")
  void fieldOfAnotherTypeIsRefusedWithItsPath(Unreadable document) {
    assertThatThrownBy(() -> read(document.text()))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageStartingWith(document.path() + ": expected ");
  }

  /** Guards against a number or text that has no meaning, or that fails later. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"timeoutMs\":1500|\"timeoutMs\":0|resources[0].spec.timeoutMs: expected an integer from 1",
        "\"timeoutMs\":1500|\"timeoutMs\":600001|resources[0].spec.timeoutMs",
        "\"targetLatencyMs\":500|\"targetLatencyMs\":-1|resources[0].spec.targetLatencyMs",
        "\"priority\":1|\"priority\":-1|resources[0].spec.priority",
        "\"maxAttempts\":2|\"maxAttempts\":0|resources[0].spec.maxAttempts",
        "\"unsafe\"|\"UNSAFE\"|resources[0].spec.kind: expected one of download, safe,",
        "\"service\":\"huvo11a\",\"maxA|\"service\":\"a b\",\"maxA|resources[0].spec.service",
        "\"service\":\"huvo11a\",\"maxA|\"maxA|resources[0].spec: expected either service or split",
        "\"split\":|\"service\":\"huvo11a\",\"split\":|resources[1].spec: expected either service",
        "\"weight\":90|\"weight\":-1|resources[1].spec.split[0].weight: expected a number from 0 to 1000000000, got",
        "\"weight\":90|\"weight\":1e999|resources[1].spec.split[0].weight",
        "\"weight\":90|\"weight\":1000000001|resources[1].spec.split[0].weight",
        "{\"service\":\"huvo11a\",\"weight\":90}|\"huvo11a\"|resources[1].spec.split[0]: expected",
        "\"/healthz\"|\"healthz\"|resources[2].spec.healthPath",
        "\"maxConnections\":130|\"maxConnections\":0|resources[2].spec.maxConnections",
        "\"h1\"|\"h9\"|resources[2].spec.protocol: expected one of h1, got the text \"h9\"",
        "\"warmS\":2.0|\"warmS\":-1|resources[2].spec.warmS",
        "\"warmS\":2.0|\"warmS\":1e999|resources[2].spec.warmS",
        "\"warmupS\":3.0|\"warmupS\":-0.1|resources[2].spec.warmupS",
        "\"warmupS\":3.0|\"warmupS\":1e999|resources[2].spec.warmupS",
        "\"warmupPerS\":3.7|\"warmupPerS\":-3.7|resources[2].spec.warmupPerS",
        "\"warmupPerS\":3.7|\"warmupPerS\":\"3.7\"|resources[2].spec.warmupPerS",
        "\"grants\":\"heartbeat\"|\"grants\":\"pigeon\"|resources[2].spec.grants",
        "\"maxHeaderBytes\":16384|\"maxHeaderBytes\":0|resources[4].spec.maxHeaderBytes",
        "\"idleTimeoutMs\":15000|\"idleTimeoutMs\":-1|resources[4].spec.idleTimeoutMs",
        "\"name\":\"huvo11a\"|\"name\":\"a b\"|resources[2].metadata.name",
        "\"name\":\"r-x73d3zj\"|\"name\":\"r-i9n73hh\"|resources[1]: expected each item once",
        "\"ficu95.example\"|\"\\ud800\"|resources[0]: expected Unicode texts",
        "\"limits\"|\"volcano\"|resources[4].resourceType",
        "\"r7\"|\"7\"|version: expected 'r' followed by a number above 0",
        "\"r7\"|\"r0\"|version",
        "\"r7\"|\"r-7\"|version",
        "\"r7\"|\"r 7\"|version",
        "\"r7\"|\"r7.5\"|version",
        "\"r7\"|\"r9999999999999999999\"|version",
      })
  void valueOutOfRangeIsRefusedWithItsPath(String part, String replacement, String error) {
    assertThat(COMPLETE).contains(part);
    String text = COMPLETE.replace(part, replacement);
    assertThatThrownBy(() -> read(text))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageStartingWith(error);
  }

  /** Guards against an order of which a part is dropped because nobody knows it. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"version\":\"r9\",\"remove\":{\"routes\":\"r\"}}|remove.routes: expected a list",
        "{\"version\":\"r9\",\"remove\":{\"routes\":[null]}}|remove.routes[0]: expected a text",
        "{\"version\":\"r9\",\"remove\":{\"routes\":[\"r\",\"r\"]}}|remove.routes[1]: expected each",
        "{\"version\":\"r9\",\"remove\":{\"limits\":[\"x\"]}}|remove.limits: unknown field",
        "{\"version\":\"r9\",\"remove\":[\"r\"]}|remove: expected an object",
        "{\"version\":\"r9\",\"remove\":null,\"upsert\":{}}|remove: expected an object",
        "{\"version\":\"r9\",\"upsert\":[]}|upsert: expected an object",
        "{\"version\":\"r9\",\"upsert\":\"x\"}|upsert: expected an object",
        "{\"version\":\"r9\",\"upsert\":{\"routes\":[]}}|upsert.routes: unknown field",
        "{\"version\":\"r9\",\"upserts\":{}}|upserts: unknown field",
        "{\"version\":\"r9\"}|expected upsert or remove, got neither",
        "{\"version\":\"r9\",\"upsert\":{},\"resources\":[]}|resources: unknown field",
      })
  void patchThatIsReadInPartIsRefused(String text, String error) {
    byte[] body = ConfigurationExamples.bytes(text);
    assertThatThrownBy(() -> ConfigurationJson.parsePatch("r7", body))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageStartingWith(error);
  }

  /** Guards against a complete configuration of which a part is dropped or added. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"version\":\"r7\",\"resources\":[]}",
        "{\"version\":\"r7\",\"resources\":[],\"remove\":{}}",
        "{\"version\":\"r7\",\"resources\":[null]}",
        "{\"version\":\"r7\",\"resources\":[{\"resourceType\":\"limits\",\"spec\":{}}]}",
      })
  void configurationThatIsReadInPartIsRefused(String text) {
    byte[] body = ConfigurationExamples.bytes(text);
    assertThatThrownBy(() -> ConfigurationJson.parseComplete("r5", body))
        .isInstanceOf(ColtsfootwheelException.class);
  }

  /** Guards against an item of which a part is dropped, and against a refused future field. */
  @Test
  void unknownPartOfAnItemIsRefusedAndUnknownFieldOfItsSpecIsKept() {
    String item = COMPLETE.replace("\"metadata\":{}", "\"metadata\":{},\"state\":\"off\"");
    assertThatThrownBy(() -> read(item))
        .hasMessageStartingWith("resources[4].state: unknown field");
    String spec = COMPLETE.replace("\"tls\":false", "\"tls\":false,\"a\":{\"b\":[1.50,null]}");
    assertThat(read(spec).items().get(3).document()).contains("\"a\":{\"b\":[1.50,null]}");
  }

  /** Guards against bytes that two readers understand in two ways. */
  @ParameterizedTest
  @MethodSource("unreadableBytes")
  void bytesThatAreNotOneDocumentAreRefused(byte[] body) {
    assertThatThrownBy(() -> ConfigurationJson.parseComplete("r5", body))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageContaining("JSON");
  }

  private static List<byte[]> unreadableBytes() {
    byte[] badUtf8 = ConfigurationExamples.bytes(COMPLETE);
    badUtf8[COMPLETE.indexOf("ficu95")] = (byte) 0xff;
    byte[] surrogate =
        COMPLETE.replace("ficu95", "\u00ed\u00a0\u0080").getBytes(StandardCharsets.ISO_8859_1);
    byte[] overlong =
        COMPLETE.replace("ficu95", "\u00c0\u0080").getBytes(StandardCharsets.ISO_8859_1);
    List<byte[]> bodies = new ArrayList<>();
    bodies.add(badUtf8);
    bodies.add(surrogate);
    bodies.add(overlong);
    bodies.add(COMPLETE.getBytes(StandardCharsets.UTF_16BE));
    bodies.add(COMPLETE.getBytes(StandardCharsets.UTF_16));
    for (String text :
        List.of(
            "",
            "null",
            "[1]",
            COMPLETE.substring(0, COMPLETE.length() - 5),
            COMPLETE + "}",
            COMPLETE + COMPLETE,
            COMPLETE + "\u0000",
            "/* */" + COMPLETE,
            "{\"version\":\"r1\"," + COMPLETE.substring(1),
            COMPLETE.substring(0, COMPLETE.length() - 1) + ",\"resources\":[]}",
            COMPLETE.replace("\"tls\":false", "\"tls\":false,\"tls\":false"),
            COMPLETE.replace("\"tls\":false", "\"tls\":false,\"a\":{\"b\":1,\"b\":1}"),
            COMPLETE.replace("1500", "NaN"),
            COMPLETE.replace("1500", "01500"),
            COMPLETE.replace("1500", "1500,"),
            COMPLETE.replace("]}", ",]}"),
            COMPLETE.replace("\"tls\":false", "\"tls\":false,\"a\":1e99999999999"),
            "{\"version\":\"r7\",\"resources\":" + "[".repeat(20_000) + "]".repeat(20_000) + "}")) {
      bodies.add(ConfigurationExamples.bytes(text));
    }
    return bodies;
  }
}
