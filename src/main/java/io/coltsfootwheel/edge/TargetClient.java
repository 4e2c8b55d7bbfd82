package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import reactor.core.publisher.Mono;

/**
 * HTTP client with one bounded pool of connections for each target.
 *
 * <p>A request is never repeated by the client.
 *
 * <p>Usage: {@code client.open(target, address, 4); client.send(target, request).subscribe(...)}.
 */
public interface TargetClient extends AutoCloseable {
  /**
   * Returns a client without targets.
   *
   * @return the client
   */
  static TargetClient create() {
    return new NettyTargetClient();
  }

  /**
   * Opens the pool of a target, replacing the pool of another address or size.
   *
   * @param target the target
   * @param address its HTTP address
   * @param connections largest number of connections for requests
   */
  void open(TargetId target, Address address, int connections);

  /**
   * Closes the pool of a target; requests in flight end as broken.
   *
   * @param target the target
   */
  void close(TargetId target);

  /**
   * Sends a request when subscribed to; cancelling the subscription closes its connection.
   *
   * @param target the target
   * @param request the request
   * @return the result; never an error
   */
  Mono<TargetResult> send(TargetId target, TargetRequest request);

  /**
   * Sends a grant with a timeout of 200 ms.
   *
   * @param target the target
   * @param instance this instance
   * @param fence dispatch fence
   * @param validUntilMillis end of the grant on the target's monotonic clock, 0 to fetch its
   *     reading
   * @return the result; never an error
   */
  Mono<GrantResult> grant(TargetId target, InstanceId instance, long fence, long validUntilMillis);

  /**
   * Probes a target with {@code GET /health} and a timeout of 200 ms.
   *
   * @param target the target
   * @return true when it answered with a 2xx status; never an error
   */
  Mono<Boolean> probe(TargetId target);

  /**
   * Asks a target to cancel a request, with a timeout of 200 ms.
   *
   * @param target the target
   * @param requestId the id of the request
   * @return true when the target answered with a 2xx status; never an error
   */
  Mono<Boolean> cancel(TargetId target, String requestId);

  /** Closes all pools. */
  @Override
  void close();
}
