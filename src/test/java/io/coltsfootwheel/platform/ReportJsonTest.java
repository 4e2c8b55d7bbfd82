package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
      })
  void malformedReportIsRejected(String part, String replacement) {
    String malformed = REPORT.replace(part, replacement == null ? "" : replacement);
    assertThat(malformed).isNotEqualTo(REPORT);
    assertThatThrownBy(() -> ReportJson.parse("i-1", bytes(malformed)))
        .isInstanceOf(ColtsfootwheelException.class);
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
}
