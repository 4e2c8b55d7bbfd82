package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a target and notices bytes that were received together with a response
 * and follow it. Such bytes would become a part of the next response. {@link
 * UnrequestedBytesHandler} sees those that arrive later.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
  private boolean isHeadRequest;
  private boolean hasSurplusBytes;

  /** Called before a request is written. */
  void requestSent(HttpMethod method) {
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /** Called when the response to the last request is complete. */
  void responseCompleted() {
    hasSurplusBytes |= actualReadableBytes() > 0;
  }

  /** Returns whether bytes that belong to no response were received behind a response. */
  boolean hasSurplusBytes() {
    return hasSurplusBytes;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }
}
