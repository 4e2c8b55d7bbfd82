package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.Route;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationJsonTest {
  private static final String ROUTE =
      "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r\"},\"spec\":{\"hostname\":\"h\","
          + "\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":400,"
          + "\"priority\":2,\"split\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"s\","
          + "\"weight\":10}],\"maxAttempts\":2,\"future\":{\"x\":1}}}";
  private static final String SERVICE =
      "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"s\"},\"spec\":{\"healthPath\":"
          + "\"/healthz\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true}}";
  private static final String LIMITS =
      "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":100,"
          + "\"maxBodyBytes\":100,\"headerTimeoutMs\":100,\"idleTimeoutMs\":100}}";

  private static byte[] body(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String configuration(String... items) {
    return "{\"version\":\"r7\",\"resources\":[" + String.join(",", items) + "," + LIMITS + "]}";
  }

  private static byte[] completeConfiguration() {
    return body(configuration(ROUTE, SERVICE));
  }

  /** Guards against a configuration that is returned with other content than was sent. */
  @Test
  void configurationReadsBackAsItWasSent() throws Exception {
    ConfigurationChange change = ConfigurationJson.parseComplete("r0", completeConfiguration());
    Configuration next = ((ChangeOutcome.Applicable) Configuration.empty().evaluate(change)).next();
    assertThat(ConfigurationJson.write(next))
        .isEqualTo(new ObjectMapper().readTree(completeConfiguration()));
  }

  /** Guards against route fields that are read from the wrong JSON field. */
  @Test
  void routeIsDecoded() {
    Route route =
        ConfigurationJson.parseComplete("r0", completeConfiguration())
            .items()
            .get(0)
            .route()
            .orElseThrow();
    assertThat(route.timeoutMillis()).isEqualTo(1_200);
    assertThat(route.targetLatencyMillis()).isEqualTo(400);
    assertThat(route.priority()).isEqualTo(2);
    assertThat(route.services().get(0).weight()).isEqualTo(90);
  }

  /**
   * Guards against a valid configuration that is refused because of the kind of a route, and
   * against a kind whose requests are repeated although they may run only once.
   */
  @ParameterizedTest
  @CsvSource({"safe, true", "download, true", "unsafe, false", "upload, false"})
  void kindDecidesWhetherRequestsMayBeRepeated(String kind, boolean idempotent) {
    String text = ROUTE.replace("\"safe\"", "\"" + kind + "\"");
    Route route =
        ConfigurationJson.parseComplete("r0", body(configuration(text, SERVICE)))
            .items()
            .get(0)
            .route()
            .orElseThrow();
    assertThat(route.kind().isIdempotent()).isEqualTo(idempotent);
  }

  /** Guards against keys that are granted in another way than the targets of a service expect. */
  @ParameterizedTest
  @CsvSource({
    "'', HEARTBEAT",
    "',\"grants\":\"heartbeat\"', HEARTBEAT",
    "',\"grants\":\"call\"', CALL"
  })
  void serviceNamesHowItsKeysAreGranted(String field, GrantMethod expected) {
    assertThat(grantMethod(field)).isEqualTo(expected);
  }

  /** Guards against an unknown way of granting keys that is taken as the usual one. */
  @ParameterizedTest
  @ValueSource(strings = {",\"grants\":\"other\"", ",\"grants\":7", ",\"grants\":\"CALL\""})
  void unknownGrantMethodIsRejected(String field) {
    assertThatThrownBy(() -> grantMethod(field)).isInstanceOf(ColtsfootwheelException.class);
  }

  private static GrantMethod grantMethod(String field) {
    String service = SERVICE.replace("130", "130" + field);
    return ConfigurationJson.parseComplete("r0", body(configuration(service)))
        .items()
        .get(0)
        .service()
        .orElseThrow()
        .grantMethod();
  }

  /** Guards against malformed changes that are accepted or fail with an unexpected exception. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{\"version\":\"r7\"}",
        "{\"version\":\"x\",\"resources\":[]}",
        "{\"version\":\"r7\",\"resources\":[{\"resourceType\":\"routes\"",
        "{\"version\":\"r7\",\"resources\":[{\"resourceType\":\"other\"}]}",
        "{\"version\":\"r7\",\"resources\":[{\"resourceType\":\"routes\",\"metadata\":{}}]}",
        "{\"version\":\"r7\",\"resources\":[]} trailing"
      })
  void malformedChangeIsRejected(String text) {
    assertThatThrownBy(() -> ConfigurationJson.parseComplete("r0", body(text)))
        .isInstanceOf(ColtsfootwheelException.class);
  }

  /** Guards against versions that are compared as strings. */
  @ParameterizedTest
  @CsvSource({"r12, 12", "0, 0", "\"r7\", 7", "r007, 7"})
  void versionIsANumber(String text, long expected) {
    assertThat(ConfigurationJson.parseVersion(text)).isEqualTo(expected);
  }

  /** Guards against equal changes with different fingerprints, and the reverse. */
  @Test
  void fingerprintCoversBaseAndBody() {
    String one = ConfigurationJson.parseComplete("r0", completeConfiguration()).fingerprint();
    assertThat(ConfigurationJson.parseComplete("r0", completeConfiguration()).fingerprint())
        .isEqualTo(one);
    assertThat(ConfigurationJson.parseComplete("r1", completeConfiguration()).fingerprint())
        .isNotEqualTo(one);
  }

  /** Guards against a patch whose removals are ignored. */
  @Test
  void patchContainsItsRemovals() {
    ConfigurationChange patch =
        ConfigurationJson.parsePatch(
            "r7", body("{\"version\":\"r9\",\"upsert\":{},\"remove\":{\"routes\":[\"r\"]}}"));
    assertThat(patch.complete()).isFalse();
    assertThat(patch.removals()).hasSize(1);
  }

  /** Guards against numbers that are accepted and fail later, in every process that uses them. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"weight\":90|\"weight\":1e999",
        "\"weight\":90|\"weight\":1e308",
        "\"weight\":90|\"weight\":-1",
        "\"timeoutMs\":1200|\"timeoutMs\":1e999",
        "\"timeoutMs\":1200|\"timeoutMs\":9223372036854775808",
        "\"priority\":2|\"priority\":1e999",
        "\"priority\":2|\"priority\":2147483648",
        "\"priority\":2|\"priority\":[]",
        "\"maxAttempts\":2|\"maxAttempts\":99999999999",
        "\"maxConnections\":130|\"maxConnections\":-1",
        "\"maxConnections\":130|\"maxConnections\":0.5",
        "\"maxHeaderBytes\":100|\"maxHeaderBytes\":0",
        "\"maxHeaderBytes\":100|\"maxHeaderBytes\":-5",
        "\"maxBodyBytes\":100|\"maxBodyBytes\":-1",
        "\"maxBodyBytes\":100|\"maxBodyBytes\":9223372036854775808",
        "\"idleTimeoutMs\":100|\"idleTimeoutMs\":-1",
        "\"idleTimeoutMs\":100|\"idleTimeoutMs\":\"x\"",
      })
  void oddNumberIsRejected(String part, String replacement) {
    String sound = configuration(ROUTE, SERVICE);
    assertThat(Configuration.empty().evaluate(ConfigurationJson.parseComplete("0", body(sound))))
        .isInstanceOf(ChangeOutcome.Applicable.class);
    String odd = sound.replace(part, replacement);
    assertThat(odd).isNotEqualTo(sound);
    assertThat(isRejected(odd)).isTrue();
  }

  private static boolean isRejected(String text) {
    try {
      ConfigurationChange change = ConfigurationJson.parseComplete("0", body(text));
      return !(Configuration.empty().evaluate(change) instanceof ChangeOutcome.Applicable);
    } catch (ColtsfootwheelException e) {
      return true;
    }
  }

  /** Guards against documents that exhaust the stack or the memory of the reader. */
  @ParameterizedTest
  @ValueSource(strings = {"[", "{\"a\":", "[],"})
  void excessiveDocumentIsRejected(String part) {
    String text = "{\"version\":\"r7\",\"resources\":[],\"x\":[" + part.repeat(500_000) + "[]]}";
    assertThatThrownBy(() -> ConfigurationJson.parseComplete("r0", body(text)))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageContaining("not complete, valid JSON");
  }

  /** Guards against a base version that is guessed from a text that is not one. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "7",
        "r",
        "r-7",
        "r 7",
        "r+7",
        " r7",
        "r7.5",
        "\"",
        "\"r7",
        "\"\"r7\"\"",
        "R7",
        "r99999999999999999999"
      })
  void malformedBaseVersionIsRejected(String text) {
    assertThatThrownBy(() -> ConfigurationJson.parseVersion(text))
        .isInstanceOf(ColtsfootwheelException.class);
  }
}
