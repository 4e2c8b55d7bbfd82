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
   * @param requestId id of the attempt, as in {@link DispatchRequest}
   * @param target the target
   * @param fence dispatch fence to send with it
   * @param hashSlot hash slot to send with it, empty for an unkeyed service
   * @param remainingMillis time until the deadline of the request
   * @param sendBeforeNanos end of the lease; after it the driver does not write the request, but
   *     posts the reply {@link TargetReply.NotSent}
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
   * Refuses a request; the kind of the error implies whether it may have been executed.
   *
   * @param requestId id of the attempt, as in {@link DispatchRequest}
   * @param kind kind of the error
   * @param retryAfterMillis time after which the request may be sent again, 0 when unknown
   * @param detail description for the response body
   */
  record RefuseRequest(String requestId, ErrorKind kind, long retryAfterMillis, String detail)
      implements DispatchEffect {}

  /**
   * Sends a grant to a target that checks fences.
   *
   * @param target the target
   * @param fence dispatch fence
   * @param validUntilMillis end of the grant on the target's monotonic clock, 0 for an expired
   *     grant that is only sent to read that clock
   * @param sendBeforeNanos time after which the driver does not write the grant, but posts {@link
   *     DispatchEvent.GrantFailed}; the time until the grant has certainly expired counts from it
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
   * Cancels a request at its target. Its slot remains occupied until the reply to the request
   * itself.
   *
   * @param target the target
   * @param requestId id of the attempt, as in {@link DispatchRequest}
   */
  record SendCancel(TargetId target, String requestId) implements DispatchEffect {}
}
