package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import reactor.core.publisher.Mono;

/** Client over Reactor Netty. */
final class NettyTargetClient implements TargetClient {
  @Override
  public void open(TargetId target, Address address, int connections) {}

  @Override
  public void close(TargetId target) {}

  @Override
  public Mono<TargetResult> send(TargetId target, TargetRequest request) {
    return Mono.just(new TargetResult.NotSent("not open"));
  }

  @Override
  public Mono<GrantResult> grant(TargetId target, InstanceId instance, long fence, long ttlMillis) {
    return Mono.just(new GrantResult.Failed("not open"));
  }

  @Override
  public Mono<Boolean> probe(TargetId target) {
    return Mono.just(false);
  }

  @Override
  public Mono<Boolean> cancel(TargetId target, String requestId) {
    return Mono.just(false);
  }

  @Override
  public void close() {}
}
