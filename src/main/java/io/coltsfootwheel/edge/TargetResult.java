package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.netty.buffer.ByteBuf;
import java.util.List;
import reactor.core.publisher.Flux;

/** What is known after a request was sent to a target. */
public sealed interface TargetResult {
  /**
   * No byte of the request was written, so it was not run.
   *
   * @param cause why
   */
  record NotSent(String cause) implements TargetResult {}

  /** The target refused the request by its fence (412) and did not run it. */
  record RefusedFence() implements TargetResult {}

  /**
   * The target refused the request because it sheds load (503) and did not run it.
   *
   * @param retryAfterMillis the target's {@code Retry-After}, 0 for none
   */
  record RefusedShedding(long retryAfterMillis) implements TargetResult {}

  /**
   * The target responded.
   *
   * @param status HTTP status
   * @param headers end-to-end headers
   * @param body body parts; must be subscribed once and cancelled or read to its end, since it
   *     holds the connection; the subscriber releases each buffer; ends with an error when the
   *     response is truncated
   */
  record Responded(int status, List<Header> headers, Flux<ByteBuf> body) implements TargetResult {}

  /**
   * The connection broke after bytes may have been written and before the head of the response
   * arrived, so the outcome is unknown.
   *
   * @param cause why
   */
  record Broken(String cause) implements TargetResult {}
}
