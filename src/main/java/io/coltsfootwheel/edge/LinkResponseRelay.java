package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.model.InstanceId;
import reactor.core.publisher.Mono;

/** Relay over a link. */
final class LinkResponseRelay implements ResponseRelay {
  LinkResponseRelay(LinkTransport link, long idleMillis) {}

  @Override
  public Mono<CallerResponse> expect(InstanceId dispatcher, long requestId) {
    return Mono.empty();
  }

  @Override
  public void forget(InstanceId dispatcher, long requestId) {}

  @Override
  public Mono<Void> send(InstanceId entry, long requestId, CallerResponse response) {
    return Mono.empty();
  }

  @Override
  public void cancel(InstanceId entry, long requestId) {}

  @Override
  public void received(InstanceId from, Frame frame) {}

  @Override
  public void disconnected(InstanceId peer) {}

  @Override
  public void close() {}
}
