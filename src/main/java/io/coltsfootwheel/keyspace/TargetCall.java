package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;

/** Call of the control leader to a target whose keys are granted by call. */
public sealed interface TargetCall {
  /**
   * Returns the number of the call, unique in the term of the leader.
   *
   * @return the number
   */
  long id();

  /**
   * Returns the target.
   *
   * @return the only target that may act on the call
   */
  TargetId target();

  /**
   * Returns the address of the target.
   *
   * @return the address
   */
  Address address();

  /**
   * Returns the keys.
   *
   * @return the range that is granted or taken back
   */
  KeyRange range();

  /**
   * Returns the fence under which the target owns the keys.
   *
   * @return the fence
   */
  Fence fence();

  /**
   * Returns the time by which the call has ended; nothing is sent after it.
   *
   * @return monotonic time in nanoseconds
   */
  long endNanos();

  /**
   * Grants a range, or renews the grant. The lease runs from the arrival of the call.
   *
   * @param id number of the call
   * @param target the target
   * @param address its address
   * @param range the keys
   * @param fence fence under which the target owns them
   * @param handoverToken token of the previous owner, or an empty string
   * @param holdMillis time for which the target may hold the keys
   * @param endNanos monotonic time by which the call has ended
   */
  record Grant(
      long id,
      TargetId target,
      Address address,
      KeyRange range,
      Fence fence,
      String handoverToken,
      long holdMillis,
      long endNanos)
      implements TargetCall {}

  /**
   * Takes a range back. The target answers when its work on these keys has ended.
   *
   * @param id number of the call
   * @param target the target
   * @param address its address
   * @param range the keys, which may be a part of a granted range
   * @param fence fence under which the target owns them
   * @param endNanos monotonic time by which the call has ended
   */
  record Release(
      long id, TargetId target, Address address, KeyRange range, Fence fence, long endNanos)
      implements TargetCall {}
}
