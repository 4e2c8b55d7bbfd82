package io.coltsfootwheel.listener;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the memory that the connections of a process use together. When the limit is exceeded, the
 * connection that uses most is aborted: a client that sends much without completing a request, or
 * does not read its responses, cannot use up the memory of the others. Confined to one event loop.
 */
public final class ConnectionMemoryBudget {
  private final long maxBytes;
  private final Map<Holder, Long> bytesByHolder = new IdentityHashMap<>();
  private long totalBytes;

  /** A connection, or a part of one, that uses memory. */
  @FunctionalInterface
  public interface Holder {
    /** Closes the connection, whose memory counts no more. */
    void abort();
  }

  /**
   * Creates a budget.
   *
   * @param maxBytes bytes that all connections may use together
   */
  public ConnectionMemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Sets what a connection uses; aborts the largest while the limit is exceeded, also this one.
   *
   * @param holder the connection
   * @param bytes bytes that it uses now, 0 when it uses none
   */
  public void set(Holder holder, long bytes) {
    if (bytes == 0) {
      remove(holder);
      return;
    }
    Long before = bytesByHolder.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    while (totalBytes > maxBytes && !bytesByHolder.isEmpty()) {
      Holder largest = largest();
      remove(largest);
      largest.abort();
    }
  }

  private Holder largest() {
    return bytesByHolder.entrySet().stream()
        .max(Comparator.comparingLong(Map.Entry::getValue))
        .orElseThrow()
        .getKey();
  }

  /**
   * Stops counting a connection.
   *
   * @param holder the connection; need not be counted
   */
  public void remove(Holder holder) {
    Long bytes = bytesByHolder.remove(holder);
    totalBytes -= bytes == null ? 0 : bytes;
  }

  /**
   * Returns the bytes that all connections use.
   *
   * @return the bytes
   */
  public long totalBytes() {
    return totalBytes;
  }
}
