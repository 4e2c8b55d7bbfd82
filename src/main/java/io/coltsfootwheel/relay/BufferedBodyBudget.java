package io.coltsfootwheel.relay;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the memory that message bodies use in this process; confined to the relay's event loop.
 *
 * <p>When the limit for incomplete bodies is exceeded, the largest of them is aborted: one body
 * without end cannot use up the memory of the others. Complete bodies are requests that are not
 * answered and responses that are not written. They are not aborted; instead, requests that would
 * exceed their limit are refused. Responses may exceed it, and reduce what incomplete bodies may
 * use.
 */
final class BufferedBodyBudget {
  /** Half of the direct memory that the deploy file grants. */
  static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final long maxIncompleteBytes;
  private final long maxCompleteBytes;
  private final long maxTotalBytes;
  private final Map<BufferedBodyLimiter, Long> bytesByBody = new IdentityHashMap<>();
  private long incompleteBytes;
  private long completeBytes;

  /** Creates a budget whose limits for complete and for incomplete bodies are independent. */
  BufferedBodyBudget(long maxBytes) {
    this(maxBytes, maxBytes, 2 * maxBytes);
  }

  BufferedBodyBudget(long maxIncompleteBytes, long maxCompleteBytes, long maxTotalBytes) {
    this.maxIncompleteBytes = maxIncompleteBytes;
    this.maxCompleteBytes = maxCompleteBytes;
    this.maxTotalBytes = maxTotalBytes;
  }

  long incompleteBytes() {
    return incompleteBytes;
  }

  long completeBytes() {
    return completeBytes;
  }

  /** Counts bytes of a body; aborts the largest incomplete body while a limit is exceeded. */
  void add(BufferedBodyLimiter body, long bytes) {
    bytesByBody.merge(body, bytes, Long::sum);
    incompleteBytes += bytes;
    while (isExceeded() && !bytesByBody.isEmpty()) {
      largest().abort();
    }
  }

  private boolean isExceeded() {
    return incompleteBytes > maxIncompleteBytes || incompleteBytes + completeBytes > maxTotalBytes;
  }

  /** Stops counting a body that is complete, or whose connection is closed. */
  void remove(BufferedBodyLimiter body) {
    Long bytes = bytesByBody.remove(body);
    incompleteBytes -= bytes == null ? 0 : bytes;
  }

  private BufferedBodyLimiter largest() {
    return bytesByBody.entrySet().stream()
        .max(Comparator.comparingLong(Map.Entry::getValue))
        .orElseThrow()
        .getKey();
  }

  /**
   * Counts a complete body if it is within the limit.
   *
   * @return false if the body must be refused; it is not counted then
   */
  boolean tryAddComplete(long bytes) {
    if (completeBytes + bytes > maxCompleteBytes) {
      return false;
    }
    completeBytes += bytes;
    return true;
  }

  /** Counts a complete body that cannot be refused any more. */
  void addComplete(long bytes) {
    completeBytes += bytes;
  }

  /** Stops counting a complete body. */
  void removeComplete(long bytes) {
    completeBytes -= bytes;
  }
}
