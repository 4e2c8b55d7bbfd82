package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;

/**
 * Range of keys with its owner.
 *
 * @param range the keys
 * @param owner the only target that may be granted the keys
 * @param fence index of the log entry that made it the owner
 * @param handover token of the previous owner that lets this one start warm, empty without one
 */
public record OwnedRange(KeyRange range, TargetId owner, Fence fence, String handover) {
  OwnedRange cutTo(int from, int to) {
    return new OwnedRange(new KeyRange(from, to), owner, fence, handover);
  }
}
