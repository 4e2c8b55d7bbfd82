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
   * The instance applied commands of the replicated log.
   *
   * @param nowNanos time of the event
   * @param view control state after these commands
   * @param services all services of the view; their targets are searched for grants
   */
  record ViewChanged(long nowNanos, RoutingView view, Set<ServiceName> services)
      implements DispatchEvent {}

  /**
   * The control leader acknowledged a lease renewal.
   *
   * @param nowNanos time of the event
   * @param leaseUntilNanos end of the lease: send time of the renewal plus the length of the lease
   */
  record LeaseExtended(long nowNanos, long leaseUntilNanos) implements DispatchEvent {}

  /**
   * An entry forwarded a request.
   *
   * @param nowNanos time of the event
   * @param request the request
   */
  record RequestOffered(long nowNanos, DispatchRequest request) implements DispatchEvent {}

  /**
   * The entry cancelled a request, because its caller disconnected or its deadline passed.
   *
   * @param nowNanos time of the event
   * @param requestId id of the attempt, as in {@link DispatchRequest}
   */
  record RequestCancelled(long nowNanos, String requestId) implements DispatchEvent {}

  /**
   * Sending a request to a target ended, with or without a response.
   *
   * @param nowNanos time of the event
   * @param requestId id of the attempt, as in {@link DispatchRequest}
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
   * @param running number of requests that the target runs under this fence
   * @param runningOlder number of requests that it still runs under older fences
   * @param clockMillis reading of the target's monotonic clock when it answered
   */
  record GrantAnswered(
      long nowNanos, TargetId target, Fence fence, int running, int runningOlder, long clockMillis)
      implements DispatchEvent {}

  /**
   * A target refused a grant because it has received one with a newer fence.
   *
   * @param nowNanos time of the event
   * @param target the target
   * @param newerFence a fence newer than that of the refused grant
   */
  record GrantRejected(long nowNanos, TargetId target, Fence newerFence) implements DispatchEvent {}

  /**
   * A grant got no response, although the target may have received it, or was not written in time.
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
   * Time passed; the driver posts this event every 10 ms.
   *
   * @param nowNanos time of the event
   */
  record Tick(long nowNanos) implements DispatchEvent {}

  /**
   * The instance is shutting down; requests already accepted are finished, others are refused.
   *
   * @param nowNanos time of the event
   */
  record ShutdownRequested(long nowNanos) implements DispatchEvent {}
}
