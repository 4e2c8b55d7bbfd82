package io.coltsfootwheel.loadcontrol;

/**
 * Bounds what all client connections of a process together do beyond one request each. Not
 * thread-safe.
 */
public final class PipelineBudget {
  private final int maxInProgress;
  private final long maxWaitingBytes;
  private int inProgress;
  private long waitingBytes;

  /**
   * Creates a budget.
   *
   * @param maxInProgress requests that may be in progress behind another one of their connection
   * @param maxWaitingBytes bytes of finished responses that may wait for their turn; responses to
   *     requests in progress may exceed it
   */
  public PipelineBudget(int maxInProgress, long maxWaitingBytes) {
    this.maxInProgress = maxInProgress;
    this.maxWaitingBytes = maxWaitingBytes;
  }

  /**
   * Returns the number of requests in progress behind another one of their connection.
   *
   * @return the number
   */
  public int inProgress() {
    return inProgress;
  }

  /**
   * Returns the bytes of finished responses that wait for their turn.
   *
   * @return the bytes
   */
  public long waitingBytes() {
    return waitingBytes;
  }

  /**
   * Returns whether one more request may start behind another one.
   *
   * @return true if neither bound is reached
   */
  boolean hasRoom() {
    return inProgress < maxInProgress && waitingBytes < maxWaitingBytes;
  }

  void addRequest() {
    inProgress++;
  }

  void removeRequest() {
    inProgress--;
  }

  void addWaitingBytes(long bytes) {
    waitingBytes += bytes;
  }

  void removeWaitingBytes(long bytes) {
    waitingBytes -= bytes;
  }
}
