package io.coltsfootwheel.relay;

import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Limits the memory that incomplete message bodies use in this process; confined to the relay's
 * event loop.
 *
 * <p>When the limit is exceeded, the largest body is aborted: one body without end cannot use up
 * the memory of the others.
 */
final class BufferedBodyBudget {
  /** Half of the direct memory that the deploy file grants; complete bodies use the other half. */
  static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final long maxBytes;
  private final Map<BufferedBodyLimiter, Long> bytesByBody = new IdentityHashMap<>();
  private long usedBytes;

  BufferedBodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Counts bytes of a body; aborts the largest body while the limit is exceeded. */
  void add(BufferedBodyLimiter body, long bytes) {
    bytesByBody.merge(body, bytes, Long::sum);
    usedBytes += bytes;
    while (usedBytes > maxBytes) {
      largest().abort();
    }
  }

  /** Stops counting a body that is complete, or whose connection is closed. */
  void remove(BufferedBodyLimiter body) {
    Long bytes = bytesByBody.remove(body);
    usedBytes -= bytes == null ? 0 : bytes;
  }

  private BufferedBodyLimiter largest() {
    return bytesByBody.entrySet().stream()
        .max(Comparator.comparingLong(Map.Entry::getValue))
        .orElseThrow()
        .getKey();
  }
}
