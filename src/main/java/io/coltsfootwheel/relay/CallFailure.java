package io.coltsfootwheel.relay;

/** Reason why a request passed to {@link TargetConnections} got no usable response. */
enum CallFailure {
  /** No connection could be opened, or not within the connect timeout; nothing was sent. */
  CONNECT_FAILED(false),
  /**
   * This entry already uses its maximum number of connections to the target, or a connection opened
   * when the request could no longer be sent; nothing was sent.
   */
  NO_CONNECTION(false),
  /** The connection closed before the response was complete. */
  BROKEN(true, true),
  /** No response arrived in several times the expected time, or by the deadline. */
  OVERDUE(true, true),
  /** The received bytes are not a valid response to this request. */
  GARBLED(true),
  /**
   * The target refused a request without naming it by its ID; the refusal may be a repeated one of
   * an earlier request.
   */
  UNCONFIRMED_REFUSAL(true),
  /** The response was larger than the memory that is left for incomplete responses. */
  OVERSIZED(true);

  private final boolean mayHaveExecuted;
  private final boolean isSignOfFullTarget;

  CallFailure(boolean mayHaveExecuted) {
    this(mayHaveExecuted, false);
  }

  CallFailure(boolean mayHaveExecuted, boolean isSignOfFullTarget) {
    this.mayHaveExecuted = mayHaveExecuted;
    this.isSignOfFullTarget = isSignOfFullTarget;
  }

  /** Returns whether a target near its concurrency limit fails like this because it is full. */
  boolean isSignOfFullTarget() {
    return isSignOfFullTarget;
  }

  /** Returns whether the target may have executed the request. */
  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }
}
