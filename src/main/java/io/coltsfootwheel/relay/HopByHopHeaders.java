package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which apply to a single connection. */
final class HopByHopHeaders {
  private static final List<CharSequence> HEADER_NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "proxy-connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH);

  private HopByHopHeaders() {}

  /**
   * Returns a copy without hop-by-hop headers and without Content-Length, which the caller sets.
   */
  static HttpHeaders strippedCopy(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders(false).set(headers);
    for (String connectionHeader : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : connectionHeader.split(",")) {
        if (!token.isBlank()) {
          copy.remove(token.trim());
        }
      }
    }
    HEADER_NAMES.forEach(copy::remove);
    return copy;
  }
}
