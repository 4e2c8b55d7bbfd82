package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.FullHttpResponse;

/** Receives the outcome of one request to a target; exactly one of its methods is called, once. */
interface CallListener {
  /**
   * Called with the complete response to the request, which is valid only during this call.
   *
   * @param response the response; a refusal names the request by its ID
   * @param check classification of the response
   */
  void onResponse(FullHttpResponse response, ResponseCheck check);

  /** Called when no usable response will arrive. */
  void onFailure(CallFailure failure);
}
