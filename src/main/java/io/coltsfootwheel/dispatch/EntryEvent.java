package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;

/** Input of {@link EntryRouter}; times are monotonic nanoseconds of the entry. */
public sealed interface EntryEvent {
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
   */
  record ViewChanged(long nowNanos, RoutingView view) implements EntryEvent {}

  /**
   * A caller's request arrived.
   *
   * @param nowNanos time of the event
   * @param request the request
   */
  record RequestArrived(long nowNanos, EntryRequest request) implements EntryEvent {}

  /**
   * The target's response to an attempt ended.
   *
   * @param nowNanos time of the event
   * @param requestId id of the attempt, as in {@link EntryEffect.Forward}
   * @param loadHint requests in flight and queued for the target, as reported by its dispatcher
   */
  record ResponseEnded(long nowNanos, String requestId, int loadHint) implements EntryEvent {}

  /**
   * A dispatcher refused an attempt.
   *
   * @param nowNanos time of the event
   * @param requestId id of the attempt, as in {@link EntryEffect.Forward}
   * @param kind kind of the error, which implies the outcome
   * @param retryAfterMillis time after which the request may be sent again, 0 when unknown
   * @param detail description for the response body
   */
  record AttemptRefused(
      long nowNanos, String requestId, ErrorKind kind, long retryAfterMillis, String detail)
      implements EntryEvent {}

  /**
   * The connection to the dispatching instance failed during an attempt.
   *
   * @param nowNanos time of the event
   * @param requestId id of the attempt, as in {@link EntryEffect.Forward}
   * @param written true when at least one byte of the attempt was written
   */
  record ForwardFailed(long nowNanos, String requestId, boolean written) implements EntryEvent {}

  /**
   * The delay of {@link EntryEffect.Delay} has passed.
   *
   * @param nowNanos time of the event
   * @param requestNumber number of the caller's request
   */
  record RetryDue(long nowNanos, long requestNumber) implements EntryEvent {}

  /**
   * The caller disconnected.
   *
   * @param nowNanos time of the event
   * @param requestNumber number of the caller's request
   */
  record CallerDisconnected(long nowNanos, long requestNumber) implements EntryEvent {}

  /**
   * An entry requests shares of a customer's allowance from this instance, the customer's
   * coordinator.
   *
   * @param nowNanos time of the event
   * @param entry the requesting instance
   * @param customer the customer
   * @param tokens number of rate tokens requested
   * @param permits number of concurrency permits requested in total
   */
  record TokensRequested(
      long nowNanos, InstanceId entry, CustomerId customer, int tokens, int permits)
      implements EntryEvent {}

  /**
   * The coordinator of a customer granted shares of the customer's allowance.
   *
   * @param nowNanos time of the event
   * @param customer the customer
   * @param tokens number of rate tokens to add
   * @param permits number of concurrency permits in total, valid for {@link
   *     AdmissionLimiter#PERMIT_TTL_MILLIS}
   */
  record TokensGranted(long nowNanos, CustomerId customer, int tokens, int permits)
      implements EntryEvent {}

  /**
   * The instance has applied all commands that were committed when the control leader answered the
   * last acknowledged lease renewal. After 3 s without this event, the router admits no requests.
   *
   * @param nowNanos monotonic time
   * @param upToDateNanos time at which that renewal was sent
   */
  record ControlContact(long nowNanos, long upToDateNanos) implements EntryEvent {}

  /**
   * Time passed; the driver posts this event every 10 ms.
   *
   * @param nowNanos time of the event
   */
  record Tick(long nowNanos) implements EntryEvent {}
}
