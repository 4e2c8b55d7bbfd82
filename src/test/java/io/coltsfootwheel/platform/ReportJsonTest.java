package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.keyspace.OwnedRange;
import io.coltsfootwheel.keyspace.ReleasedRange;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ReportJsonTest {
  private static final String REPORT =
      "{\"born\":1700000000000,\"address\":\"10.1.0.9:80\",\"info\":{\"service\":\"s\","
          + "\"version\":\"v1\",\"zone\":\"z\",\"capacity\":3},\"status\":{\"phase\":\"draining\","
          + "\"sequence\":4,\"warmupLeftMs\":700},\"holds\":[[0,9,7]],\"released\":[[10,19,\"tok\"]]}";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Guards against report fields that are read from the wrong JSON field. */
  @Test
  void reportIsDecoded() {
    HeartbeatReport report = ReportJson.parse("i-1", bytes(REPORT));
    assertThat(report.target().incarnationMillis()).isEqualTo(1_700_000_000_000L);
    assertThat(report.target().phase()).isEqualTo(TargetPhase.DRAINING);
    assertThat(report.target().slots()).isEqualTo(3);
    assertThat(report.sequence()).isEqualTo(4);
    assertThat(report.warmupLeftMillis()).isEqualTo(700);
    assertThat(report.heldRanges().get(0).range()).isEqualTo(new KeyRange(0, 9));
    assertThat(report.releasedRanges())
        .containsExactly(new ReleasedRange(new KeyRange(10, 19), "tok"));
  }

  /** Guards against malformed reports that register a target. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"born\":1700000000000,|",
        "\"born\":1700000000000|\"born\":\"x\"",
        "\"sequence\":4,|",
        "\"draining\"|\"sleeping\"",
        "\"capacity\":3|\"capacity\":0",
        "[0,9,7]|[9,0,7]",
        "[0,9,7]|[\"a\",9,7]",
        "10.1.0.9:80|nowhere",
        "\"service\":\"s\"|\"service\":5",
        "\"born\":1700000000000|\"born\":1e999",
        "\"born\":1700000000000|\"born\":-1",
        "\"born\":1700000000000|\"born\":1.5",
        "\"born\":1700000000000|\"born\":9223372036854775807",
        "\"born\":1700000000000|\"born\":9223372036854775808",
        "\"sequence\":4|\"sequence\":-1",
        "\"sequence\":4|\"sequence\":4.0",
        "\"capacity\":3|\"capacity\":2147483647",
        "\"capacity\":3|\"capacity\":2147483648",
        "\"capacity\":3|\"capacity\":true",
        "\"warmupLeftMs\":700|\"warmupLeftMs\":1e999",
        "\"warmupLeftMs\":700|\"warmupLeftMs\":-1",
        "\"warmupLeftMs\":700|\"warmupLeftMs\":\"x\"",
        "\"warmupLeftMs\":700|\"warmupLeftMs\":9223372036854775807",
        "10.1.0.9:80|10.1.0.9:0",
        "10.1.0.9:80|10.1.0.9:65536",
        "10.1.0.9:80|10.1.0.9:-1",
        "10.1.0.9:80|10.1.0.9:80:80",
        "10.1.0.9:80|10.1.0.999:80",
        "10.1.0.9:80|10.1.9:80",
        "10.1.0.9:80|host.invalid:80",
        "10.1.0.9:80|:80",
        "10.1.0.9:80|[]:80",
        "[[0,9,7]]|5",
        "[[0,9,7]]|{\"a\":[0,9,7]}",
        "[0,9,7]|[0,65536,7]",
        "[0,9,7]|[-1,9,7]",
        "[0,9,7]|[0,9,-7]",
        "[0,9,7]|[0,9,7.5]",
        "[0,9,7]|[0,9,1e999]",
        "[0,9,7]|[0,9]",
        "[0,9,7]|[0,9,9223372036854775808]",
        "[10,19,\"tok\"]|[10,19,5]",
        "[10,19,\"tok\"]|[10,19,[]]",
        "[10,19,\"tok\"]|[10,19]",
        "[10,19,\"tok\"]|[10,19,\"tok\",7]",
        "[10,19,\"tok\"]|[10,19,null]",
        "[10,19,\"tok\"]|[10.0,19,\"tok\"]",
        "[0,9,7]|[0,9,7,7]",
        "[0,9,7]|[0,9,null]",
        "[0,9,7]|null",
        "[0,9,7]|{}",
        "[[0,9,7]]|null",
        "\"sequence\":4|\"sequence\":4,\"sequence\":4",
        "\"service\":\"s\"|\"service\":\"a b\"",
      })
  void malformedReportIsRejected(String part, String replacement) {
    String malformed = REPORT.replace(part, replacement == null ? "" : replacement);
    assertThat(malformed).isNotEqualTo(REPORT);
    assertThatThrownBy(() -> ReportJson.parse("i-1", bytes(malformed)))
        .isInstanceOf(ColtsfootwheelException.class);
  }

  private static Stream<Arguments> wrongTypes() {
    return Stream.of(
            wrongTypes(ReportJson.FIELDS, ""),
            wrongTypes(ReportJson.INFO_FIELDS, "info"),
            wrongTypes(ReportJson.STATUS_FIELDS, "status"))
        .flatMap(List::stream);
  }

  private static List<Arguments> wrongTypes(FieldSet fields, String parent) {
    List<Arguments> reports = new ArrayList<>();
    for (Field<?> field : fields.fields()) {
      ObjectNode root = ConfigurationExamples.json(REPORT);
      ObjectNode object = parent.isEmpty() ? root : (ObjectNode) root.get(parent);
      JsonNode valid = object.get(field.name());
      String path = parent.isEmpty() ? field.name() : parent + "." + field.name();
      for (String odd : List.of("null", "true", "\"\\u0000\"", "7", "7.5", "[]", "{}")) {
        JsonNode value = ConfigurationExamples.value(odd);
        if (value.getNodeType() != valid.getNodeType() || odd.equals("7.5")) {
          object.set(field.name(), value);
          reports.add(Arguments.of(path, root.toString()));
        }
      }
      if (field instanceof RequiredField) {
        object.remove(field.name());
        reports.add(Arguments.of(path, root.toString()));
      }
    }
    return reports;
  }

  /** Guards against a report of another writer that registers a target with a default. */
  @ParameterizedTest
  @MethodSource("wrongTypes")
  void fieldOfAnotherTypeIsRefusedWithItsPath(String path, String report) {
    assertThatThrownBy(() -> ReportJson.parse("i-1", bytes(report)))
        .isInstanceOf(ColtsfootwheelException.class)
        .hasMessageStartingWith(path + ": expected ");
  }

  /** Guards against the refusal of a target that reports more than is known, or holds no keys. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"born\":|\"future\":{\"x\":[1.5]},\"born\":",
        "\"capacity\":3|\"capacity\":3,\"future\":null",
        "\"sequence\":4|\"sequence\":4,\"future\":1",
        "\"holds\":[[0,9,7]],|''",
        ",\"released\":[[10,19,\"tok\"]]|''",
        "\"tok\"|\"\"",
      })
  void unknownAndOptionalFieldsAreBorne(String part, String replacement) {
    String report = REPORT.replace(part, replacement);
    assertThat(report).isNotEqualTo(REPORT);
    assertThat(ReportJson.parse("i-1", bytes(report)).sequence()).isEqualTo(4);
  }

  /** Guards against the refusal of the report on the platform's page. */
  @Test
  void exampleOfThePageIsRead() {
    String report =
        "{\"address\":\"10.128.0.9:8080\",\"info\":{\"service\":\"huvo11a\",\"version\":\"v1\",\"zone\":"
            + "\"northvale-a\",\"capacity\":3},\"status\":{\"phase\":\"ready\",\"sequence\":4,"
            + "\"warmupLeftMs\":0},\"born\":1700000000000}";
    assertThat(ReportJson.parse("i-7f3a91c2", bytes(report)).target().phase())
        .isEqualTo(TargetPhase.READY);
  }

  /** Guards against an answer that renews a lease although none was granted. */
  @Test
  void answerWithoutGrantContainsNoRanges() {
    Address leader = new Address("10.0.0.1", 80);
    assertThat(ReportJson.write(Optional.empty(), leader).has("holds")).isFalse();
    LeaseGrant grant =
        new LeaseGrant(
            List.of(new OwnedRange(new KeyRange(0, 9), TargetId.of("i-1"), Fence.of(7), "tok")),
            3_000);
    assertThat(ReportJson.write(Optional.of(grant), leader).toString())
        .contains("\"holds\":[[0,9,7,\"tok\"]],\"holdMs\":3000");
  }

  /** Guards against documents that exhaust the stack or the memory of the reader. */
  @ParameterizedTest
  @ValueSource(strings = {"[", "{\"a\":", "[],", "9"})
  void excessiveDocumentIsRejected(String part) {
    String text = REPORT.replace("\"released\":[[", "\"released\":[" + part.repeat(100_000) + "[");
    assertThatThrownBy(() -> ReportJson.parse("i-1", bytes(text)))
        .isInstanceOf(ColtsfootwheelException.class);
  }

  /** Guards against odd reports that end the caller by another exception than a rejection. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void randomlyChangedReportIsReadOrRejected(long seed) {
    Random random = new Random(seed);
    String[] odd = {"null", "[]", "{}", "1e999", "-0", "\"\\u0000\"", "99999999999999999999", ""};
    for (int i = 0; i < 2_000; i++) {
      int from = random.nextInt(REPORT.length());
      int to = Math.min(REPORT.length(), from + random.nextInt(20));
      String text =
          REPORT.substring(0, from) + odd[random.nextInt(odd.length)] + REPORT.substring(to);
      try {
        ReportJson.parse("i-1", bytes(text));
      } catch (ColtsfootwheelException e) {
        assertThat(e.getMessage()).isNotEmpty();
      }
    }
  }
}
