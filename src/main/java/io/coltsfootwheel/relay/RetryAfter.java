package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;

/**
 * Delay after which a client should retry a refused request.
 *
 * @param millis the delay in milliseconds; 0 to omit the header
 */
record RetryAfter(long millis) {
  static final RetryAfter NONE = new RetryAfter(0);

  /** A retry uses a new connection, which reaches another entry. */
  static final RetryAfter ENTRY_STOPPING = new RetryAfter(50);

  /** Complete bodies leave the memory within some responses. */
  static final RetryAfter MEMORY_EXCEEDED = new RetryAfter(300);

  void addTo(HttpHeaders headers) {
    if (millis > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", millis / 1e3));
    }
  }
}
