package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.netty.buffer.ByteBuf;
import java.util.List;
import reactor.core.publisher.Flux;

/** Result of sending a request to a target. */
public sealed interface TargetResult {
  /**
   * No byte of the request was written, so it was not executed.
   *
   * @param cause description of the failure
   */
  record NotSent(String cause) implements TargetResult {}

  /**
   * The target refused the request because of its fence (412) and did not execute it. The refusal
   * names the request by its ID.
   */
  record RefusedFence() implements TargetResult {}

  /**
   * The target refused the request to shed load (503) and did not execute it. The refusal names the
   * request by its ID.
   *
   * @param retryAfterMillis the target's {@code Retry-After}, 0 for none
   */
  record RefusedShedding(long retryAfterMillis) implements TargetResult {}

  /**
   * The target responded.
   *
   * @param status HTTP status
   * @param headers end-to-end headers
   * @param body body parts; must be subscribed to once, and read to its end or cancelled, because
   *     it occupies the connection; the subscriber releases each buffer; signals an error when the
   *     response is truncated
   */
  record Responded(int status, List<Header> headers, Flux<ByteBuf> body) implements TargetResult {}

  /**
   * The connection failed after bytes may have been written and before the head of the response
   * arrived, or the response does not belong to the request, so the outcome is unknown.
   *
   * @param cause description of the failure
   */
  record Broken(String cause) implements TargetResult {}
}
