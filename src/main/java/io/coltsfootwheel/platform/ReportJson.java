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

/** Converts the JSON heartbeat reports of the platform's targets and the answers to them. */
final class ReportJson {
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private ReportJson() {}

  static HeartbeatReport parse(String id, byte[] body) {
    JsonNode root = JsonFields.parse(body);
    JsonNode info = root.path("info");
    JsonNode status = root.path("status");
    TargetRecord target =
        new TargetRecord(
            TargetId.of(id),
            JsonFields.integer(root, "born"),
            ServiceName.of(JsonFields.text(info, "service")),
            Address.parse(JsonFields.text(root, "address")),
            AvailabilityZone.of(JsonFields.text(info, "zone")),
            slots(info),
            phase(JsonFields.text(status, "phase")));
    long warmupLeftMillis =
        status.path("warmupLeftMs").isNumber() ? status.path("warmupLeftMs").asLong() : 0;
    return new HeartbeatReport(
        target,
        JsonFields.integer(status, "sequence"),
        warmupLeftMillis,
        heldRanges(root.path("holds")),
        releasedRanges(root.path("released")));
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

  private static int slots(JsonNode info) {
    int slots = JsonFields.integer32(info, "capacity");
    if (slots < 1) {
      throw JsonFields.invalid("field capacity must be at least 1");
    }
    return slots;
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
      ranges.add(new HeldRange(range(row), Fence.of(row.path(2).asLong())));
    }
    return ranges;
  }

  private static List<ReleasedRange> releasedRanges(JsonNode rows) {
    List<ReleasedRange> ranges = new ArrayList<>();
    for (JsonNode row : rows) {
      ranges.add(new ReleasedRange(range(row), row.path(2).asText("")));
    }
    return ranges;
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
