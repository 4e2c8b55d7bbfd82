package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
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
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Converts the JSON heartbeat reports of the platform's targets and the answers to them. */
final class ReportJson {
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  /** In the year 2286; a target with a later start could never be replaced by a real one. */
  private static final long MAX_START_MILLIS = 10_000_000_000_000L;

  private static final int MAX_SLOTS = 100_000;
  private static final long MAX_WARMUP_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int MAX_HANDOVER_TOKEN_LENGTH = 256;

  private ReportJson() {}

  static HeartbeatReport parse(String id, byte[] body) {
    JsonNode root = JsonFields.parse(body);
    JsonNode info = root.path("info");
    JsonNode status = root.path("status");
    TargetRecord target =
        new TargetRecord(
            TargetId.of(id),
            required(root, "born", 0, MAX_START_MILLIS),
            ServiceName.of(JsonFields.text(info, "service")),
            Address.parseNumeric(JsonFields.text(root, "address")),
            AvailabilityZone.of(JsonFields.text(info, "zone")),
            (int) required(info, "capacity", 1, MAX_SLOTS),
            phase(JsonFields.text(status, "phase")));
    long warmupLeftMillis = JsonFields.integer(status, "warmupLeftMs", 0, 0, MAX_WARMUP_MILLIS);
    return new HeartbeatReport(
        target,
        required(status, "sequence", 0, Long.MAX_VALUE),
        warmupLeftMillis,
        heldRanges(JsonFields.optionalList(root, "holds")),
        releasedRanges(JsonFields.optionalList(root, "released")));
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

  private static long required(JsonNode parent, String name, long min, long max) {
    JsonFields.integer(parent, name);
    return JsonFields.integer(parent, name, min, min, max);
  }

  private static TargetPhase phase(String text) {
    return switch (text) {
      case "ready" -> TargetPhase.READY;
      case "draining" -> TargetPhase.DRAINING;
      default -> throw JsonFields.invalid("field phase must be ready or draining");
    };
  }

  private static List<HeldRange> heldRanges(JsonNode rows) {
    List<HeldRange> ranges = new ArrayList<>();
    for (JsonNode row : rows) {
      ranges.add(new HeldRange(range(row), fence(row.path(2))));
    }
    return ranges;
  }

  private static List<ReleasedRange> releasedRanges(JsonNode rows) {
    List<ReleasedRange> ranges = new ArrayList<>();
    for (JsonNode row : rows) {
      ranges.add(new ReleasedRange(range(row), handoverToken(row.path(2))));
    }
    return ranges;
  }

  private static Fence fence(JsonNode node) {
    if (!node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < 0) {
      throw JsonFields.invalid("each held range of keys must end with a whole number");
    }
    return Fence.of(node.asLong());
  }

  private static String handoverToken(JsonNode node) {
    if (!node.isMissingNode() && !node.isTextual()
        || node.asText("").length() > MAX_HANDOVER_TOKEN_LENGTH) {
      throw JsonFields.invalid("each released range of keys must end with a short text");
    }
    return node.asText("");
  }

  private static KeyRange range(JsonNode row) {
    if (!row.path(0).isInt() || !row.path(1).isInt()) {
      throw JsonFields.invalid("each range of keys must begin with two integers");
    }
    try {
      return new KeyRange(row.path(0).asInt(), row.path(1).asInt());
    } catch (IllegalArgumentException e) {
      throw JsonFields.invalid(e.getMessage());
    }
  }
}
