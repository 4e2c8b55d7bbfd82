package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a target and notices bytes that do not belong to the response of a
 * request in progress. Such bytes would become a part of the next response.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
  private boolean awaitsResponse;
  private boolean isHeadRequest;
  private boolean hasSurplusBytes;

  /** Called before a request is written. */
  void requestSent(HttpMethod method) {
    awaitsResponse = true;
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /** Called when the response to the last request is complete. */
  void responseCompleted() {
    awaitsResponse = false;
    hasSurplusBytes |= actualReadableBytes() > 0;
  }

  /** Returns whether bytes were received after a response and before the next request. */
  boolean hasSurplusBytes() {
    return hasSurplusBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    hasSurplusBytes |= !awaitsResponse;
    super.channelRead(context, message);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }
}
