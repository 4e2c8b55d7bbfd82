package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes the headers that concern one connection only. */
final class HopByHop {
  private static final List<CharSequence> NAMES =
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

  private HopByHop() {}

  /** Returns a copy without those headers; the length of the body has to be set anew. */
  static HttpHeaders without(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders(false).set(headers);
    for (String connection : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : connection.split(",")) {
        if (!token.isBlank()) {
          copy.remove(token.trim());
        }
      }
    }
    NAMES.forEach(copy::remove);
    return copy;
  }
}
