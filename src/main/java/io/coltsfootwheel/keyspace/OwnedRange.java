package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;

/**
 * Range of keys with its owner.
 *
 * @param range the keys
 * @param owner the only target that may be granted the keys
 * @param fence index of the log entry that assigned the range to the owner, or that registered the
 *     current incarnation of the owner if that is later
 * @param handoverToken token from the previous owner that lets this one start with warm state, or
 *     an empty string
 */
public record OwnedRange(KeyRange range, TargetId owner, Fence fence, String handoverToken) {
  OwnedRange withBounds(int from, int to) {
    return new OwnedRange(new KeyRange(from, to), owner, fence, handoverToken);
  }
}
