package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.FullHttpResponse;

/** Receives the outcome of one request to a target; exactly one outcome is reported, once. */
interface CallListener {
  /**
   * Returns whether the request may still be sent. Asked when it has waited for a connection.
   *
   * @return false to end the call with {@link CallFailure#NO_CONNECTION}
   */
  boolean maySend();

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
