package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Mono;

/** Target client based on Reactor Netty. */
final class NettyTargetClient implements TargetClient {
  private static final String NO_POOL = "no connection pool of this target is open";

  private final long controlTimeoutMillis;
  private final Map<TargetId, TargetPool> pools = new ConcurrentHashMap<>();

  NettyTargetClient(long controlTimeoutMillis) {
    this.controlTimeoutMillis = controlTimeoutMillis;
  }

  @Override
  public void open(TargetId target, Address address, int connections) {
    TargetPool[] replaced = new TargetPool[1];
    pools.compute(
        target,
        (id, existing) -> {
          if (existing != null && existing.matches(address, connections)) {
            return existing;
          }
          replaced[0] = existing;
          return new TargetPool(target, address, connections, controlTimeoutMillis);
        });
    if (replaced[0] != null) {
      replaced[0].retire();
    }
  }

  @Override
  public void retire(TargetId target) {
    TargetPool removed = pools.remove(target);
    if (removed != null) {
      removed.retire();
    }
  }

  @Override
  public void close(TargetId target) {
    TargetPool removed = pools.remove(target);
    if (removed != null) {
      removed.close();
    }
  }

  @Override
  public Mono<TargetResult> send(TargetId target, TargetRequest request) {
    TargetPool pool = pools.get(target);
    return pool == null
        ? Mono.just(new TargetResult.NotSent(NO_POOL))
        : pool.requests().send(request);
  }

  @Override
  public Mono<GrantResult> grant(
      TargetId target, InstanceId instance, long fence, long validUntilMillis) {
    TargetPool pool = pools.get(target);
    return pool == null
        ? Mono.just(new GrantResult.Failed(NO_POOL))
        : pool.control().grant(instance, fence, validUntilMillis);
  }

  @Override
  public Mono<Boolean> probe(TargetId target) {
    TargetPool pool = pools.get(target);
    return pool == null ? Mono.just(false) : pool.control().probe();
  }

  @Override
  public Mono<Boolean> cancel(TargetId target, String requestId) {
    TargetPool pool = pools.get(target);
    return pool == null ? Mono.just(false) : pool.control().cancel(requestId);
  }

  @Override
  public void close() {
    pools.keySet().forEach(this::close);
  }
}
