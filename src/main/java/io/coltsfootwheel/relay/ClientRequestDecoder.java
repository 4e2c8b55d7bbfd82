package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/** Decodes the requests of a client, and tells whether the head of one was received in part. */
final class ClientRequestDecoder extends HttpRequestDecoder {
  /** Whether a request line was decoded and the end of its head was not. */
  private boolean requestLineDecoded;

  ClientRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Returns whether bytes were received behind the last decoded head or body. */
  boolean hasPartialHead() {
    return requestLineDecoded || actualReadableBytes() > 0;
  }

  @Override
  protected HttpMessage createMessage(String[] requestLine) throws Exception {
    requestLineDecoded = true;
    return super.createMessage(requestLine);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(context, buffer, out);
    // Nothing is passed on between a request line and the end of its head.
    requestLineDecoded &= out.isEmpty();
  }
}
