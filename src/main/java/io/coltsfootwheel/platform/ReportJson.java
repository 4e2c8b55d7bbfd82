package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.HeldRange;
import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.keyspace.OwnedRange;
import io.coltsfootwheel.keyspace.ReleasedRange;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Converts the JSON heartbeat reports of the platform's targets and the answers to them. */
final class ReportJson {
  static final FieldSet FIELDS = new FieldSet();
  static final FieldSet INFO_FIELDS = new FieldSet();
  static final FieldSet STATUS_FIELDS = new FieldSet();

  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  /** In the year 2286; a target with a later start could never be replaced by a real one. */
  private static final long MAX_START_MILLIS = 10_000_000_000_000L;

  private static final int MAX_SLOTS = 100_000;
  private static final long MAX_WARMUP_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int MAX_HANDOVER_TOKEN_LENGTH = 256;

  private static final RequiredField<Long> START_MILLIS =
      FIELDS.required("born", ValueType.integer(0, MAX_START_MILLIS));
  private static final RequiredField<Address> ADDRESS =
      FIELDS.required(
          "address", ValueType.parsedText("an IP address and a port", Address::parseNumeric));
  private static final RequiredField<JsonValue> INFO = FIELDS.required("info", ValueType.object());
  private static final RequiredField<JsonValue> STATUS =
      FIELDS.required("status", ValueType.object());
  private static final OptionalField<List<JsonValue>> HELD =
      FIELDS.optional("holds", ValueType.list());
  private static final OptionalField<List<JsonValue>> RELEASED =
      FIELDS.optional("released", ValueType.list());

  private static final RequiredField<ServiceName> SERVICE =
      INFO_FIELDS.required(
          "service", ValueType.parsedText("the name of a service", ServiceName::of));
  private static final RequiredField<String> SOFTWARE_VERSION =
      INFO_FIELDS.required("version", ValueType.text());
  private static final RequiredField<AvailabilityZone> ZONE =
      INFO_FIELDS.required(
          "zone", ValueType.parsedText("the name of a zone", AvailabilityZone::of));
  private static final RequiredField<Integer> SLOTS =
      INFO_FIELDS.required("capacity", ValueType.integer32(1, MAX_SLOTS));

  private static final RequiredField<TargetPhase> PHASE =
      STATUS_FIELDS.required(
          "phase",
          ValueType.choice(Map.of("ready", TargetPhase.READY, "draining", TargetPhase.DRAINING)));
  private static final RequiredField<Long> SEQUENCE =
      STATUS_FIELDS.required("sequence", ValueType.integer(0, Long.MAX_VALUE));
  private static final RequiredField<Long> WARMUP_LEFT_MILLIS =
      STATUS_FIELDS.required("warmupLeftMs", ValueType.integer(0, MAX_WARMUP_MILLIS));

  /** Range of keys (first, last) and its fence or handover token. */
  private static final ValueType<List<JsonValue>> RANGE_ROW = ValueType.row(3);

  private static final ValueType<Integer> KEY = ValueType.integer32(0, KeyRange.MAX_KEY);
  private static final ValueType<Long> FENCE = ValueType.integer(0, Long.MAX_VALUE);
  private static final ValueType<String> HANDOVER_TOKEN =
      ValueType.parsedText(
          "a text of at most " + MAX_HANDOVER_TOKEN_LENGTH + " characters",
          ReportJson::handoverToken);

  private ReportJson() {}

  /**
   * Reads a report. Unknown fields are ignored.
   *
   * @param id the target
   * @param body body of the call
   * @throws ColtsfootwheelException that names the path of the first field that cannot be read
   */
  static HeartbeatReport parse(String id, byte[] body) {
    JsonValue root = JsonValue.root(JsonFields.parse(body), ErrorKind.INVALID_REQUEST);
    JsonValue status = root.read(STATUS);
    return new HeartbeatReport(
        target(id, root, root.read(INFO), status.read(PHASE)),
        status.read(SEQUENCE),
        status.read(WARMUP_LEFT_MILLIS),
        rows(root.read(HELD), ReportJson::heldRange),
        rows(root.read(RELEASED), ReportJson::releasedRange));
  }

  private static TargetRecord target(String id, JsonValue root, JsonValue info, TargetPhase phase) {
    info.read(SOFTWARE_VERSION);
    return new TargetRecord(
        TargetId.of(id),
        root.read(START_MILLIS),
        info.read(SERVICE),
        root.read(ADDRESS),
        info.read(ZONE),
        info.read(SLOTS),
        phase);
  }

  /**
   * Writes the answer to a report.
   *
   * @param grant owned key ranges and their lease; empty when no lease is renewed
   * @param reportAddress address to which later reports are sent
   */
  static ObjectNode write(Optional<LeaseGrant> grant, Address reportAddress) {
    ObjectNode answer = JSON.objectNode();
    answer.put("heartbeatUrl", reportAddress.toString());
    grant.ifPresent(
        lease -> {
          ArrayNode rows = answer.putArray("holds");
          for (OwnedRange owned : lease.ranges()) {
            rows.addArray()
                .add(owned.range().from())
                .add(owned.range().to())
                .add(owned.fence().value())
                .add(owned.handoverToken());
          }
          answer.put("holdMs", lease.holdMillis());
        });
    return answer;
  }

  private static <T> List<T> rows(Optional<List<JsonValue>> rows, Function<JsonValue, T> reader) {
    return rows.orElse(List.of()).stream().map(reader).toList();
  }

  private static HeldRange heldRange(JsonValue row) {
    List<JsonValue> cells = row.as(RANGE_ROW);
    return new HeldRange(range(row, cells), Fence.of(cells.get(2).as(FENCE)));
  }

  private static ReleasedRange releasedRange(JsonValue row) {
    List<JsonValue> cells = row.as(RANGE_ROW);
    return new ReleasedRange(range(row, cells), cells.get(2).as(HANDOVER_TOKEN));
  }

  private static KeyRange range(JsonValue row, List<JsonValue> cells) {
    int from = cells.get(0).as(KEY);
    int to = cells.get(1).as(KEY);
    if (from > to) {
      throw row.unexpected("a first key up to the last key", from + " and " + to);
    }
    return new KeyRange(from, to);
  }

  private static String handoverToken(String text) {
    if (text.length() > MAX_HANDOVER_TOKEN_LENGTH) {
      throw JsonFields.invalid("the token is too long");
    }
    return text;
  }
}
