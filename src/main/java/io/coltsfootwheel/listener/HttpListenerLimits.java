package io.coltsfootwheel.listener;

/**
 * Limits of what all clients of an HTTP listener together can make the process hold.
 *
 * @param maxConnections connections that may be open at once
 * @param maxReadBytes largest part that is read from a connection at once
 * @param maxHeldBytes bytes of incomplete or unanswered requests and of unread responses that all
 *     connections may use together
 * @param headTimeoutMillis time in which the head of a request must be complete
 * @param stallTimeoutMillis time without progress after which a client that does not read its
 *     response is disconnected
 */
public record HttpListenerLimits(
    int maxConnections,
    int maxReadBytes,
    long maxHeldBytes,
    long headTimeoutMillis,
    long stallTimeoutMillis) {
  private static final int PROBE_READ_BYTES = 2 * 1024;
  private static final int CALL_READ_BYTES = 16 * 1024;
  private static final long HEAD_TIMEOUT_MILLIS = 5_000;
  private static final long STALL_TIMEOUT_MILLIS = 10_000;

  /**
   * Returns the limits of a listener whose requests have no bodies.
   *
   * @param process limits of the process
   * @return the limits
   */
  public static HttpListenerLimits ofProbes(ProcessLimits process) {
    return new HttpListenerLimits(
        ListenerKind.PROBES.maxConnections(process),
        PROBE_READ_BYTES,
        Math.min(process.heapBytes() / 32, process.directBytes() / 16),
        HEAD_TIMEOUT_MILLIS,
        STALL_TIMEOUT_MILLIS);
  }

  /**
   * Returns the limits of a listener for calls, each with a body of some megabytes at most.
   *
   * @param process limits of the process
   * @return the limits
   */
  public static HttpListenerLimits ofCalls(ProcessLimits process) {
    return new HttpListenerLimits(
        ListenerKind.CALLS.maxConnections(process),
        CALL_READ_BYTES,
        Math.min(process.heapBytes() * 3 / 16, process.directBytes() * 3 / 8),
        HEAD_TIMEOUT_MILLIS,
        STALL_TIMEOUT_MILLIS);
  }
}
