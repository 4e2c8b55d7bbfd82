package io.coltsfootwheel.dispatch;

/** How one send to a target ended. */
public sealed interface TargetReply {
  /**
   * The target executed the request and its full response arrived.
   *
   * @param status HTTP status of the response
   */
  record Completed(int status) implements TargetReply {}

  /** The target refused the request by its fence or an expired grant and did not execute it. */
  record RefusedFence() implements TargetReply {}

  /**
   * The target refused the request to shed load and did not execute it.
   *
   * @param retryAfterMillis time after which the target expects load again, 0 when it named none
   */
  record RefusedShedding(long retryAfterMillis) implements TargetReply {}

  /** No byte of the request was written to the target. */
  record NotSent() implements TargetReply {}

  /** Bytes of the request were written, and no full response arrived. */
  record Broken() implements TargetReply {}
}
