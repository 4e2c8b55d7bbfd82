package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Collects a request body up to a limit. */
final class BodyReader {
  static final byte[] EMPTY = new byte[0];

  private static final int FIRST_CHUNKED_BYTES = 4096;

  private final int limitBytes;
  private byte[] bytes;
  private int length;

  private BodyReader(int limitBytes, int expectedBytes) {
    this.limitBytes = limitBytes;
    this.bytes = new byte[expectedBytes];
  }

  /** Returns whether the head announces a body. */
  static boolean hasBody(HttpHeaders headers) {
    return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) || declaredLength(headers) != 0;
  }

  /** Reads the whole body; an error of kind BODY_TOO_LARGE when it exceeds the limit. */
  static Mono<byte[]> read(HttpServerRequest request, int limitBytes) {
    long declared = declaredLength(request.requestHeaders());
    if (declared > limitBytes) {
      return Mono.error(tooLarge(limitBytes));
    }
    int expected = declared > 0 ? (int) declared : Math.min(FIRST_CHUNKED_BYTES, limitBytes);
    return request
        .receive()
        .reduceWith(() -> new BodyReader(limitBytes, expected), BodyReader::add)
        .map(BodyReader::toBytes);
  }

  private static long declaredLength(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.CONTENT_LENGTH);
    if (value == null) {
      return 0;
    }
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, "Content-Length is no number");
    }
  }

  private BodyReader add(ByteBuf part) {
    int added = part.readableBytes();
    if (added > limitBytes - length) {
      throw tooLarge(limitBytes);
    }
    if (length + added > bytes.length) {
      int doubled = Math.min(limitBytes, 2 * bytes.length);
      bytes = Arrays.copyOf(bytes, Math.max(length + added, doubled));
    }
    part.readBytes(bytes, length, added);
    length += added;
    return this;
  }

  private byte[] toBytes() {
    return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
  }

  private static ColtsfootwheelException tooLarge(int limitBytes) {
    return ColtsfootwheelException.of(
        ErrorKind.BODY_TOO_LARGE, "body is larger than " + limitBytes + " bytes");
  }
}
