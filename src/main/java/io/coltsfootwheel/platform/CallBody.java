package io.coltsfootwheel.platform;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads the body of a call up to a maximum size. */
final class CallBody {
  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private CallBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the body; fails as soon as it exceeds the maximum, however long the caller sends. */
  static Mono<byte[]> read(Flux<ByteBuf> parts, int maxBytes) {
    return parts
        .reduceWith(() -> new CallBody(maxBytes), CallBody::append)
        .map(body -> body.bytes.toByteArray());
  }

  private CallBody append(ByteBuf part) {
    if (part.readableBytes() > maxBytes - bytes.size()) {
      throw JsonFields.invalid("the request body is larger than " + maxBytes + " bytes");
    }
    byte[] partBytes = new byte[part.readableBytes()];
    part.readBytes(partBytes);
    bytes.writeBytes(partBytes);
    return this;
  }
}
