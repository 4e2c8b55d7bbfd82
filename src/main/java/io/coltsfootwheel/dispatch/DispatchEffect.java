package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.OptionalInt;

/** Output of {@link DispatchReducer}, executed by a driver in the order of the list. */
public sealed interface DispatchEffect {
  /**
   * Sends a request to its target.
   *
   * @param requestId the request
   * @param target the target
   * @param fence dispatch fence to send with it
   * @param hashSlot hash slot to send with it, empty for an unkeyed service
   * @param remainingMillis time until the deadline
   * @param sendBeforeNanos time after which the driver writes nothing and replies {@link
   *     TargetReply.NotSent}; the lease ends then
   */
  record SendToTarget(
      String requestId,
      TargetId target,
      Fence fence,
      OptionalInt hashSlot,
      long remainingMillis,
      long sendBeforeNanos)
      implements DispatchEffect {}

  /**
   * Refuses a request; the outcome is that of the kind.
   *
   * @param requestId the request
   * @param kind why it is refused
   * @param retryAfterMillis time after which a new try makes sense, 0 when unknown
   * @param detail what happened, for the response body
   */
  record RefuseRequest(String requestId, ErrorKind kind, long retryAfterMillis, String detail)
      implements DispatchEffect {}

  /**
   * Sends a grant to a target that checks fences.
   *
   * @param target the target
   * @param fence dispatch fence
   * @param validUntilMillis end of the grant on the target's monotonic clock, 0 for a grant that
   *     only fetches the clock's reading
   * @param sendBeforeNanos time after which the driver writes nothing and reports {@link
   *     DispatchEvent.GrantFailed}; the wait before a release counts from it
   */
  record SendGrant(TargetId target, Fence fence, long validUntilMillis, long sendBeforeNanos)
      implements DispatchEffect {}

  /**
   * Probes a target that does not check fences.
   *
   * @param target the target
   */
  record SendProbe(TargetId target) implements DispatchEffect {}

  /**
   * Cancels a request at its target; the request's own reply frees its slot.
   *
   * @param target the target
   * @param requestId the request
   */
  record SendCancel(TargetId target, String requestId) implements DispatchEffect {}
}
