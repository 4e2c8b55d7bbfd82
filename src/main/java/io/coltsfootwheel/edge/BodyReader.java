package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads a request body up to a maximum size. */
final class BodyReader {
  static final byte[] EMPTY_BODY = new byte[0];

  private static final int INITIAL_CHUNKED_BYTES = 4096;

  private final int maxBytes;
  private byte[] bytes;
  private int length;

  private BodyReader(int maxBytes, int initialBytes) {
    this.maxBytes = maxBytes;
    this.bytes = new byte[initialBytes];
  }

  /** Returns whether the headers declare a body. */
  static boolean hasBody(HttpHeaders headers) {
    return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) || declaredLength(headers) != 0;
  }

  /** Reads the complete body; fails with kind BODY_TOO_LARGE if it exceeds the maximum. */
  static Mono<byte[]> read(HttpServerRequest request, int maxBytes) {
    long declaredBytes = declaredLength(request.requestHeaders());
    if (declaredBytes > maxBytes) {
      return Mono.error(bodyTooLarge(maxBytes));
    }
    int initialBytes =
        declaredBytes > 0 ? (int) declaredBytes : Math.min(INITIAL_CHUNKED_BYTES, maxBytes);
    return read(request.receive(), maxBytes, initialBytes);
  }

  /** Reads a body of unknown length; fails with kind BODY_TOO_LARGE if it exceeds the maximum. */
  static Mono<byte[]> read(Flux<ByteBuf> parts, int maxBytes) {
    return read(parts, maxBytes, Math.min(INITIAL_CHUNKED_BYTES, maxBytes));
  }

  private static Mono<byte[]> read(Flux<ByteBuf> parts, int maxBytes, int initialBytes) {
    return parts
        .reduceWith(() -> new BodyReader(maxBytes, initialBytes), BodyReader::append)
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
      throw ColtsfootwheelException.of(ErrorKind.INVALID_REQUEST, "Content-Length is not a number");
    }
  }

  private BodyReader append(ByteBuf part) {
    int partBytes = part.readableBytes();
    if (partBytes > maxBytes - length) {
      throw bodyTooLarge(maxBytes);
    }
    if (length + partBytes > bytes.length) {
      int doubled = Math.min(maxBytes, 2 * bytes.length);
      bytes = Arrays.copyOf(bytes, Math.max(length + partBytes, doubled));
    }
    part.readBytes(bytes, length, partBytes);
    length += partBytes;
    return this;
  }

  private byte[] toBytes() {
    return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
  }

  private static ColtsfootwheelException bodyTooLarge(int maxBytes) {
    return ColtsfootwheelException.of(
        ErrorKind.BODY_TOO_LARGE, "body is larger than " + maxBytes + " bytes");
  }
}
