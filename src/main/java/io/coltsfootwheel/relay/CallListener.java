package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.FullHttpResponse;

/** Receives the outcome of one request to a target; exactly one of its methods is called, once. */
interface CallListener {
  /** Called with the complete response to the request, which is valid only during this call. */
  void onResponse(FullHttpResponse response);

  /** Called when no usable response will arrive. */
  void onFailure(CallFailure failure);
}
