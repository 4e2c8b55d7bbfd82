package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.keyspace.TargetLeave;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.TargetId;
import java.util.OptionalLong;

/** Converts the announcements of the platform's targets that they leave. */
final class LeaveJson {
  private LeaveJson() {}

  /**
   * Reads an announcement. A body that cannot be read names no incarnation.
   *
   * @param id identifier of the target
   * @param body body of the call, which may be empty
   */
  static TargetLeave parse(String id, byte[] body) {
    return new TargetLeave(TargetId.of(id), incarnationMillis(body));
  }

  private static OptionalLong incarnationMillis(byte[] body) {
    try {
      JsonNode born = JsonFields.parse(body).path("born");
      return born.isIntegralNumber() && born.canConvertToLong()
          ? OptionalLong.of(born.asLong())
          : OptionalLong.empty();
    } catch (ColtsfootwheelException e) {
      return OptionalLong.empty();
    }
  }
}
