package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Set;

/** Input of {@link DispatchReducer}; times are monotonic nanoseconds of this instance. */
public sealed interface DispatchEvent {
  /**
   * Returns the time at which the event is applied.
   *
   * @return monotonic nanoseconds
   */
  long nowNanos();

  /**
   * The instance applied commands of the log.
   *
   * @param nowNanos time of the event
   * @param view the new view
   * @param services all services of the view, whose targets are searched for grants
   */
  record ViewChanged(long nowNanos, RoutingView view, Set<ServiceName> services)
      implements DispatchEvent {}

  /**
   * A renewal was acknowledged.
   *
   * @param nowNanos time of the event
   * @param leaseUntilNanos send time of the renewal plus the length of the lease
   */
  record LeaseExtended(long nowNanos, long leaseUntilNanos) implements DispatchEvent {}

  /**
   * An entry offers a request.
   *
   * @param nowNanos time of the event
   * @param request the request
   */
  record RequestOffered(long nowNanos, DispatchRequest request) implements DispatchEvent {}

  /**
   * The caller no longer waits for a request.
   *
   * @param nowNanos time of the event
   * @param requestId the request
   */
  record RequestCancelled(long nowNanos, String requestId) implements DispatchEvent {}

  /**
   * A send to a target ended.
   *
   * @param nowNanos time of the event
   * @param requestId the request
   * @param reply how it ended
   */
  record TargetReplied(long nowNanos, String requestId, TargetReply reply)
      implements DispatchEvent {}

  /**
   * A target accepted a grant.
   *
   * @param nowNanos time of the event
   * @param target the target
   * @param fence fence of the accepted grant
   * @param running requests running under this fence
   * @param runningOlder requests still running under older fences
   * @param clockMillis reading of the target's monotonic clock in its answer
   */
  record GrantAnswered(
      long nowNanos, TargetId target, Fence fence, int running, int runningOlder, long clockMillis)
      implements DispatchEvent {}

  /**
   * A target refused a grant because it has seen a newer fence.
   *
   * @param nowNanos time of the event
   * @param target the target
   * @param newer highest fence that the target has seen
   */
  record GrantRejected(long nowNanos, TargetId target, Fence newer) implements DispatchEvent {}

  /**
   * A grant got no response; the target may have received it.
   *
   * @param nowNanos time of the event
   * @param target the target
   */
  record GrantFailed(long nowNanos, TargetId target) implements DispatchEvent {}

  /**
   * A target that does not check fences responded to a probe.
   *
   * @param nowNanos time of the event
   * @param target the target
   */
  record ProbeAnswered(long nowNanos, TargetId target) implements DispatchEvent {}

  /**
   * A probe got no response.
   *
   * @param nowNanos time of the event
   * @param target the target
   */
  record ProbeFailed(long nowNanos, TargetId target) implements DispatchEvent {}

  /**
   * Time passed; expected every 10 ms.
   *
   * @param nowNanos time of the event
   */
  record Tick(long nowNanos) implements DispatchEvent {}

  /**
   * The instance shuts down; requests already accepted are finished first.
   *
   * @param nowNanos time of the event
   */
  record ShutdownRequested(long nowNanos) implements DispatchEvent {}
}
