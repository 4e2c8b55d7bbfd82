package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Classification of a complete response from a target. */
enum ResponseCheck {
  /** Response of the target's program, forwarded without changes to status and body. */
  VALID,
  /** The target states that it did not execute the request. */
  NOT_EXECUTED,
  /**
   * The target does not hold the key, or another target uses the address; the request was not
   * executed.
   */
  MISDIRECTED,
  /** Not a response of the target's program; the request may have been executed. */
  INVALID;

  /** Returns whether the response states that the request was not executed. */
  boolean isRefusal() {
    return this == NOT_EXECUTED || this == MISDIRECTED;
  }

  static ResponseCheck of(FullHttpResponse response, ProtocolHeaderNames headerNames) {
    if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      return MISDIRECTED;
    }
    if (response.headers().contains(headerNames.notExecuted())) {
      return NOT_EXECUTED;
    }
    boolean hasSignature = response.headers().contains(headerNames.signature());
    boolean hasContentEncoding = response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean impliesNotExecuted =
        response.status().code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            || response.status().code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
            || response.status().code() == HttpResponseStatus.REQUEST_TIMEOUT.code();
    if (hasContentEncoding || isSuccess && !hasSignature || impliesNotExecuted && !hasSignature) {
      return INVALID;
    }
    return VALID;
  }
}
