package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;

/** Output of {@link EntryRouter}, executed by a driver in the order of the list. */
public sealed interface EntryEffect {
  /**
   * Forwards an attempt to the dispatching instance, or applies it locally when that is this one.
   *
   * @param requestNumber the caller's request
   * @param instance the dispatching instance
   * @param request the attempt; its deadline is on the clock of the entry and has to be converted
   *     to remaining time for the link
   */
  record Forward(long requestNumber, InstanceId instance, DispatchRequest request)
      implements EntryEffect {}

  /**
   * Answers the caller with an error.
   *
   * @param requestNumber the caller's request
   * @param kind why
   * @param retryAfterMillis value for {@code Retry-After}, 0 when unknown
   * @param detail what happened
   */
  record Refuse(long requestNumber, ErrorKind kind, long retryAfterMillis, String detail)
      implements EntryEffect {}

  /**
   * Delays a request; {@link EntryEvent.RetryDue} follows.
   *
   * @param requestNumber the caller's request
   * @param delayMillis the delay
   */
  record Delay(long requestNumber, long delayMillis) implements EntryEffect {}

  /**
   * Cancels an attempt at the dispatching instance.
   *
   * @param instance the dispatching instance
   * @param requestId the attempt
   */
  record CancelForward(InstanceId instance, String requestId) implements EntryEffect {}

  /**
   * Asks the home instance of a customer for shares of its allowance.
   *
   * @param home the home instance
   * @param customer the customer
   * @param tokens rate tokens wanted
   * @param permits concurrency permits wanted in total
   */
  record RequestTokens(InstanceId home, CustomerId customer, int tokens, int permits)
      implements EntryEffect {}

  /**
   * Grants shares of a customer's allowance to an entry.
   *
   * @param entry the entry that asked
   * @param customer the customer
   * @param tokens rate tokens
   * @param permits concurrency permits in total
   */
  record GrantTokens(InstanceId entry, CustomerId customer, int tokens, int permits)
      implements EntryEffect {}
}
