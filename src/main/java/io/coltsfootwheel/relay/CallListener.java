package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.FullHttpResponse;

/** Receives the outcome of one request to a target; exactly one method is called, once. */
interface CallListener {
  /** A complete response with the identity of the request arrived; valid during the call. */
  void responded(FullHttpResponse response);

  /** No usable response will arrive. */
  void failed(CallFailure failure);
}
