package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.TargetId;
import java.util.OptionalLong;

/**
 * Announcement of a target that it leaves.
 *
 * @param target the target
 * @param incarnationMillis incarnation that leaves, as Unix time of the start of its process; empty
 *     when the announcement does not name it
 */
public record TargetLeave(TargetId target, OptionalLong incarnationMillis) {
  /** Returns whether the announcement concerns the registered incarnation of its target. */
  boolean concerns(TargetRecord registered) {
    return incarnationMillis.orElse(registered.incarnationMillis())
        == registered.incarnationMillis();
  }
}
