package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;

/** Output of {@link EntryRouter}, executed by a driver in the order of the list. */
public sealed interface EntryEffect {
  /**
   * Forwards an attempt to the dispatching instance, which may be this instance itself.
   *
   * @param requestNumber number of the caller's request
   * @param instance the dispatching instance
   * @param request the attempt; its deadline is on the clock of the entry, so the driver sends the
   *     remaining time over the link
   */
  record Forward(long requestNumber, InstanceId instance, DispatchRequest request)
      implements EntryEffect {}

  /**
   * Answers the caller with an error.
   *
   * @param requestNumber number of the caller's request
   * @param kind kind of the error, which implies the outcome
   * @param retryAfterMillis value for {@code Retry-After}, 0 when unknown
   * @param detail description for the response body
   */
  record Refuse(long requestNumber, ErrorKind kind, long retryAfterMillis, String detail)
      implements EntryEffect {}

  /**
   * Delays a request; the driver posts {@link EntryEvent.RetryDue} after the delay.
   *
   * @param requestNumber number of the caller's request
   * @param delayMillis length of the delay
   */
  record Delay(long requestNumber, long delayMillis) implements EntryEffect {}

  /**
   * Cancels an attempt at the dispatching instance.
   *
   * @param instance the dispatching instance
   * @param requestId id of the attempt
   */
  record CancelForward(InstanceId instance, String requestId) implements EntryEffect {}

  /**
   * Requests shares of a customer's allowance from the coordinator of the customer.
   *
   * @param coordinator the coordinator instance
   * @param customer the customer
   * @param tokens number of rate tokens requested
   * @param permits number of concurrency permits requested in total
   */
  record RequestTokens(InstanceId coordinator, CustomerId customer, int tokens, int permits)
      implements EntryEffect {}

  /**
   * Grants shares of a customer's allowance to an entry.
   *
   * @param entry the entry that requested the shares
   * @param customer the customer
   * @param tokens number of rate tokens granted
   * @param permits number of concurrency permits in total, replacing the previous number
   */
  record GrantTokens(InstanceId entry, CustomerId customer, int tokens, int permits)
      implements EntryEffect {}
}
