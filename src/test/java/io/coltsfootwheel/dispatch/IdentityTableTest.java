package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ErrorKind;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a second execution of an identity and against refusals of first sends. */
class IdentityTableTest {
  private static final long RETENTION_MILLIS = 600_000;
  private static final long RETENTION = DispatchFixture.millis(RETENTION_MILLIS);

  private final IdentityTable table =
      new IdentityTable(new DispatchSettings(8, 3, RETENTION_MILLIS), 0);

  private static RequestIdentity identity(String value, Long stamp) {
    return new RequestIdentity(
        value, stamp == null ? OptionalLong.empty() : OptionalLong.of(stamp));
  }

  private Optional<ErrorKind> begin(long nowNanos, RequestIdentity identity, boolean idempotent) {
    return table.begin(nowNanos, identity, idempotent, 100, 0).map(IdentityTable.Refusal::kind);
  }

  @ParameterizedTest
  @CsvSource({
    "100, 0, false, ",
    "99, 0, false, IDENTITY_TOO_OLD",
    "99, 599999, false, IDENTITY_TOO_OLD",
    "99, 600000, false, IDENTITY_TOO_OLD",
    "99, 0, true, IDENTITY_TOO_OLD",
    ", 599999, false, IDENTITY_TOO_OLD",
    ", 600000, false, "
  })
  void decidesUnknownIdentitiesByTheirAge(
      Long stamp, long atMillis, boolean idempotent, ErrorKind expected) {
    Optional<ErrorKind> kind =
        begin(DispatchFixture.millis(atMillis), identity("a", stamp), idempotent);
    assertThat(kind).isEqualTo(Optional.ofNullable(expected));
  }

  @ParameterizedTest
  @CsvSource({
    "running, false, IDENTITY_IN_USE",
    "running, true, IDENTITY_IN_USE",
    "done, false, IDENTITY_ALREADY_RUN",
    "done, true, ",
    "unknown, false, TARGET_FAILED",
    "unknown, true, ",
    "forgotten, false, "
  })
  void decidesResendsByTheRecord(String state, boolean idempotent, ErrorKind expected) {
    RequestIdentity identity = identity("a", 100L);
    assertThat(begin(0, identity, idempotent)).isEmpty();
    switch (state) {
      case "done" -> table.completed(1, identity, 201);
      case "unknown" -> table.unknown(1, identity, ErrorKind.TARGET_FAILED);
      case "forgotten" -> table.forget(identity);
      default -> assertThat(state).isEqualTo("running");
    }
    assertThat(begin(2, identity, idempotent)).isEqualTo(Optional.ofNullable(expected));
  }

  @Test
  void namesTheRecordedStatus() {
    RequestIdentity identity = identity("a", 100L);
    begin(0, identity, false);
    table.completed(1, identity, 201);
    assertThat(table.begin(2, identity, false, 100, 0).orElseThrow().detail()).contains("201");
  }

  @Test
  void refusesStampsNotAboveThoseOfDroppedRecords() {
    RequestIdentity dropped = identity("a", 150L);
    begin(0, dropped, false);
    table.completed(0, dropped, 200);
    assertThat(begin(RETENTION - 1, dropped, false)).contains(ErrorKind.IDENTITY_ALREADY_RUN);
    assertThat(begin(RETENTION, dropped, false)).contains(ErrorKind.IDENTITY_TOO_OLD);
    assertThat(begin(RETENTION, identity("b", 150L), false)).contains(ErrorKind.IDENTITY_TOO_OLD);
    assertThat(begin(RETENTION, identity("c", 151L), false)).isEmpty();
  }

  @Test
  void keepsARunningRecordBeyondTheRetentionTime() {
    begin(0, identity("a", 100L), false);
    assertThat(begin(2 * RETENTION, identity("a", 100L), false))
        .contains(ErrorKind.IDENTITY_IN_USE);
  }

  @Test
  void refusesNewIdentitiesWhenFullInsteadOfDroppingRecords() {
    for (String value : new String[] {"a", "b", "c"}) {
      assertThat(begin(0, identity(value, 100L), false)).isEmpty();
    }
    assertThat(begin(0, identity("d", 100L), false)).contains(ErrorKind.OVERLOADED);
    assertThat(begin(0, identity("a", 100L), false)).contains(ErrorKind.IDENTITY_IN_USE);
  }

  @Test
  void lateReplyExtendsTheRetentionTime() {
    RequestIdentity identity = identity("a", 100L);
    begin(0, identity, false);
    table.unknown(0, identity, ErrorKind.DEADLINE_EXCEEDED);
    table.completed(RETENTION - 1, identity, 200);
    assertThat(begin(RETENTION + 5, identity, false)).contains(ErrorKind.IDENTITY_ALREADY_RUN);
    assertThat(table.size()).isEqualTo(1);
  }
}
