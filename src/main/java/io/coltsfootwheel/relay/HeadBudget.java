package io.coltsfootwheel.relay;

/** Limits the memory that the heads of unanswered requests use; confined to one event loop. */
final class HeadBudget {
  private final long maxBytes;
  private long bytes;

  HeadBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  long bytes() {
    return bytes;
  }

  /**
   * Counts the head of a request if it is within the limit.
   *
   * @return false if the request must be refused; its head is not counted then
   */
  boolean tryAdd(long headBytes) {
    if (bytes + headBytes > maxBytes) {
      return false;
    }
    bytes += headBytes;
    return true;
  }

  /** Stops counting the head of a request that is answered. */
  void remove(long headBytes) {
    bytes -= headBytes;
  }

  /**
   * Returns whether requests behind another one of their connection may be read. The other half of
   * the budget is for the first request of each connection.
   */
  boolean hasRoomForPipelining() {
    return bytes <= maxBytes / 2;
  }
}
