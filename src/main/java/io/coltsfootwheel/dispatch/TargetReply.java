package io.coltsfootwheel.dispatch;

/** How sending one request to its target ended. */
public sealed interface TargetReply {
  /**
   * The target executed the request and its complete response arrived.
   *
   * @param status HTTP status of the response
   */
  record Completed(int status) implements TargetReply {}

  /**
   * The target refused the request, because its fence is outdated or its grant has expired, and did
   * not execute it.
   */
  record RefusedFence() implements TargetReply {}

  /**
   * The target refused the request to shed load and did not execute it.
   *
   * @param retryAfterMillis time after which the target accepts requests again, 0 when it gave none
   */
  record RefusedShedding(long retryAfterMillis) implements TargetReply {}

  /** No byte of the request was written to the target. */
  record NotSent() implements TargetReply {}

  /** Bytes of the request were written, but no complete response arrived. */
  record Broken() implements TargetReply {}
}
