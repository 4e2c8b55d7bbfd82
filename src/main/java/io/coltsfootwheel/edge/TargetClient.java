package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import reactor.core.publisher.Mono;

/**
 * HTTP client with one bounded pool of connections for each target.
 *
 * <p>The client never retries a request.
 *
 * <p>Usage: {@code client.open(target, address, 4); client.send(target, request).subscribe(...)}.
 */
public interface TargetClient extends AutoCloseable {
  /** Time limit of a grant, a health check and a cancellation, in milliseconds. */
  long CONTROL_TIMEOUT_MILLIS = 200;

  /**
   * Returns a client without targets.
   *
   * @param controlTimeoutMillis time limit of a grant, a health check and a cancellation, in
   *     milliseconds
   * @return the client
   */
  static TargetClient create(long controlTimeoutMillis) {
    return new NettyTargetClient(controlTimeoutMillis);
  }

  /**
   * Opens the pool of a target. An existing pool with another address or size is retired.
   *
   * @param target the target
   * @param address its HTTP address
   * @param connections maximum number of connections for requests
   */
  void open(TargetId target, Address address, int connections);

  /**
   * Closes the pool of a target; requests in flight end with {@link TargetResult.Broken}.
   *
   * @param target the target
   */
  void close(TargetId target);

  /**
   * Ends the pool of a target without ending its requests in flight: no further request is sent,
   * and the pool is closed when the last response is complete.
   *
   * @param target the target
   */
  void retire(TargetId target);

  /**
   * Sends a request on subscription; cancelling the subscription closes the connection.
   *
   * @param target the target
   * @param request the request
   * @return the result; never signals an error
   */
  Mono<TargetResult> send(TargetId target, TargetRequest request);

  /**
   * Sends a grant with a timeout of 200 ms.
   *
   * @param target the target
   * @param instance this instance
   * @param fence dispatch fence
   * @param validUntilMillis end of the grant on the target's monotonic clock, 0 to read the clock
   * @return the result; never signals an error
   */
  Mono<GrantResult> grant(TargetId target, InstanceId instance, long fence, long validUntilMillis);

  /**
   * Checks the health of a target with {@code GET /health} and a timeout of 200 ms.
   *
   * @param target the target
   * @return true if the target responded with a 2xx status; never signals an error
   */
  Mono<Boolean> probe(TargetId target);

  /**
   * Asks a target to cancel a request, with a timeout of 200 ms.
   *
   * @param target the target
   * @param requestId id of the request, as sent to the target
   * @return true if the target responded with a 2xx status; never signals an error
   */
  Mono<Boolean> cancel(TargetId target, String requestId);

  /** Closes all pools. */
  @Override
  void close();
}
