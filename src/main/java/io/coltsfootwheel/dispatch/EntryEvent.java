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
   * The instance applied commands of the log.
   *
   * @param nowNanos time of the event
   * @param view the new view
   */
  record ViewChanged(long nowNanos, RoutingView view) implements EntryEvent {}

  /**
   * A caller's request was read.
   *
   * @param nowNanos time of the event
   * @param request the request
   */
  record RequestArrived(long nowNanos, EntryRequest request) implements EntryEvent {}

  /**
   * The target's response to an attempt ended.
   *
   * @param nowNanos time of the event
   * @param requestId attempt, as in {@link EntryEffect.Forward}
   * @param loadHint requests in flight and queued at the target as its dispatcher saw them
   */
  record ResponseEnded(long nowNanos, String requestId, int loadHint) implements EntryEvent {}

  /**
   * A dispatcher refused an attempt.
   *
   * @param nowNanos time of the event
   * @param requestId attempt, as in {@link EntryEffect.Forward}
   * @param kind why
   * @param retryAfterMillis time after which a new try makes sense, 0 when unknown
   * @param detail what happened
   */
  record AttemptRefused(
      long nowNanos, String requestId, ErrorKind kind, long retryAfterMillis, String detail)
      implements EntryEvent {}

  /**
   * The connection to the dispatching instance failed during an attempt.
   *
   * @param nowNanos time of the event
   * @param requestId attempt, as in {@link EntryEffect.Forward}
   * @param written true when a byte of the attempt was written
   */
  record ForwardFailed(long nowNanos, String requestId, boolean written) implements EntryEvent {}

  /**
   * The delay of a request ended.
   *
   * @param nowNanos time of the event
   * @param requestNumber the request
   */
  record RetryDue(long nowNanos, long requestNumber) implements EntryEvent {}

  /**
   * The caller disconnected.
   *
   * @param nowNanos time of the event
   * @param requestNumber the request
   */
  record CallerLeft(long nowNanos, long requestNumber) implements EntryEvent {}

  /**
   * Another entry asks this instance, the home of a customer, for shares of its allowance.
   *
   * @param nowNanos time of the event
   * @param entry the asking instance
   * @param customer the customer
   * @param tokens rate tokens wanted
   * @param permits concurrency permits wanted in total
   */
  record TokensRequested(
      long nowNanos, InstanceId entry, CustomerId customer, int tokens, int permits)
      implements EntryEvent {}

  /**
   * The home instance of a customer granted shares of its allowance.
   *
   * @param nowNanos time of the event
   * @param customer the customer
   * @param tokens rate tokens to add
   * @param permits concurrency permits in total, valid for {@link AdmissionLimiter#PERMIT_MILLIS}
   */
  record TokensGranted(long nowNanos, CustomerId customer, int tokens, int permits)
      implements EntryEvent {}

  /**
   * The instance has applied everything that was committed when its last acknowledged renewal was
   * answered. Without this event for 3 s the router admits no requests.
   *
   * @param nowNanos send time of that renewal
   */
  record ControlContact(long nowNanos) implements EntryEvent {}

  /**
   * Time passed; expected every 10 ms.
   *
   * @param nowNanos time of the event
   */
  record Tick(long nowNanos) implements EntryEvent {}
}
