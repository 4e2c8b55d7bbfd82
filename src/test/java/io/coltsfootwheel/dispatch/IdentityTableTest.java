package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ErrorKind;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against executing an identity twice and against refusing identities sent for the first
 * time.
 */
class IdentityTableTest {
  private static final long RETENTION_MILLIS = 600_000;
  private static final long RETENTION_NANOS = DispatchFixture.millisToNanos(RETENTION_MILLIS);

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
  void decidesOnIdentitiesWithoutRecordByTheirAge(
      Long stamp, long nowMillis, boolean idempotent, ErrorKind expected) {
    Optional<ErrorKind> kind =
        begin(DispatchFixture.millisToNanos(nowMillis), identity("a", stamp), idempotent);
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
    "removed, false, "
  })
  void decidesOnRepeatedIdentitiesByTheirRecord(
      String state, boolean idempotent, ErrorKind expected) {
    RequestIdentity identity = identity("a", 100L);
    assertThat(begin(0, identity, idempotent)).isEmpty();
    switch (state) {
      case "done" -> table.recordCompleted(1, identity, 201);
      case "unknown" -> table.recordUnknown(1, identity, ErrorKind.TARGET_FAILED);
      case "removed" -> table.remove(identity);
      default -> assertThat(state).isEqualTo("running");
    }
    assertThat(begin(2, identity, idempotent)).isEqualTo(Optional.ofNullable(expected));
  }

  @Test
  void refusalNamesTheRecordedHttpStatus() {
    RequestIdentity identity = identity("a", 100L);
    begin(0, identity, false);
    table.recordCompleted(1, identity, 201);
    assertThat(table.begin(2, identity, false, 100, 0).orElseThrow().detail()).contains("201");
  }

  @Test
  void refusesStampsUpToTheHighestStampOfExpiredRecords() {
    RequestIdentity expired = identity("a", 150L);
    begin(0, expired, false);
    table.recordCompleted(0, expired, 200);
    assertThat(begin(RETENTION_NANOS - 1, expired, false)).contains(ErrorKind.IDENTITY_ALREADY_RUN);
    assertThat(begin(RETENTION_NANOS, expired, false)).contains(ErrorKind.IDENTITY_TOO_OLD);
    assertThat(begin(RETENTION_NANOS, identity("b", 150L), false))
        .contains(ErrorKind.IDENTITY_TOO_OLD);
    assertThat(begin(RETENTION_NANOS, identity("c", 151L), false)).isEmpty();
  }

  @Test
  void keepsTheRecordOfARunningRequestBeyondTheRetentionTime() {
    begin(0, identity("a", 100L), false);
    assertThat(begin(2 * RETENTION_NANOS, identity("a", 100L), false))
        .contains(ErrorKind.IDENTITY_IN_USE);
  }

  @Test
  void refusesNewIdentitiesWhenFullInsteadOfRemovingRecords() {
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
    table.recordUnknown(0, identity, ErrorKind.DEADLINE_EXCEEDED);
    table.recordCompleted(RETENTION_NANOS - 1, identity, 200);
    assertThat(begin(RETENTION_NANOS + 5, identity, false))
        .contains(ErrorKind.IDENTITY_ALREADY_RUN);
    assertThat(table.size()).isEqualTo(1);
  }
}
