package io.coltsfootwheel.relay;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** What a complete response of a target means for its request. */
enum ResponseCheck {
  /** The target's own answer, to be passed on unchanged. */
  ANSWER,
  /** The target states that it did not run the request. */
  NOT_EXECUTED,
  /** The target does not hold the key, or another target has the address; not run. */
  MISDIRECTED,
  /** Not an answer of the target's program; the request may have run. */
  INVALID;

  static ResponseCheck of(FullHttpResponse response, WireNames names) {
    if (response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      return MISDIRECTED;
    }
    if (response.headers().contains(names.notExecuted())) {
      return NOT_EXECUTED;
    }
    boolean signed = response.headers().contains(names.signature());
    boolean encoded = response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean promise =
        response.status().code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            || response.status().code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
            || response.status().code() == HttpResponseStatus.REQUEST_TIMEOUT.code();
    if (encoded || success && !signed || promise && !signed) {
      return INVALID;
    }
    return ANSWER;
  }
}
