package io.coltsfootwheel.relay;

import io.coltsfootwheel.routing.RouteTable;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Reads what the relay needs to know of a client's request from its head. */
final class ClientRequestParser {
  private static final int MAX_KEY = 65_535;

  private final ProtocolHeaderNames headerNames;

  ClientRequestParser(ProtocolHeaderNames headerNames) {
    this.headerNames = headerNames;
  }

  /**
   * Parses a well-formed request.
   *
   * @param request the request; its reference passes to the result
   * @param receivedNanos monotonic time at which it was read
   * @param routes version of the configuration by which it is handled
   */
  RelayRequest parse(FullHttpRequest request, long receivedNanos, RouteTable routes) {
    HttpHeaders headers = request.headers();
    return new RelayRequest(
        headers.get(headerNames.requestId(), ""),
        request.method(),
        request.uri(),
        headers.get(HttpHeaderNames.HOST, ""),
        headers,
        request.content(),
        parseKey(headers.get(headerNames.key())),
        parseNonNegative(headers.get(headerNames.deadlineMillis())),
        receivedNanos,
        routes);
  }

  /** Returns the status that answers a request which could not be decoded. */
  static HttpResponseStatus statusOfMalformed(Throwable cause) {
    return cause instanceof TooLongFrameException
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  /** Returns the key that a text contains, empty when it is no key. */
  static OptionalInt parseKey(String text) {
    OptionalLong value = parseNonNegative(text);
    return value.isPresent() && value.getAsLong() <= MAX_KEY
        ? OptionalInt.of((int) value.getAsLong())
        : OptionalInt.empty();
  }

  private static OptionalLong parseNonNegative(String text) {
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      long value = Long.parseLong(text.trim());
      return value < 0 ? OptionalLong.empty() : OptionalLong.of(value);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
