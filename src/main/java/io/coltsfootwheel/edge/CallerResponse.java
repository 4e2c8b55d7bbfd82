package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.TargetId;
import io.netty.buffer.ByteBuf;
import java.util.List;
import reactor.core.publisher.Flux;

/** Response to a caller: either relayed from a target or an error of the router. */
public sealed interface CallerResponse {
  /**
   * Returns an error response with the outcome of its kind.
   *
   * @param kind kind of the error
   * @param detail what is wrong
   * @return the response
   */
  static CallerResponse error(ErrorKind kind, String detail) {
    return new Error(kind, kind.outcome(), detail, 0);
  }

  /**
   * Response relayed from a target.
   *
   * @param target the target
   * @param status HTTP status
   * @param headers end-to-end headers
   * @param body body parts, subscribed to once; the subscriber releases each buffer; on an error,
   *     the server aborts the caller's connection
   */
  record Relayed(TargetId target, int status, List<Header> headers, Flux<ByteBuf> body)
      implements CallerResponse {}

  /**
   * Error response of the router.
   *
   * @param kind kind of the error
   * @param outcome whether the request was executed, if known
   * @param detail what is wrong
   * @param retryAfterMillis time after which the caller may retry, 0 for no such hint
   */
  record Error(ErrorKind kind, Outcome outcome, String detail, long retryAfterMillis)
      implements CallerResponse {}
}
