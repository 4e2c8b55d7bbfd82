package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.TargetId;
import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Connections to one target: a pool for requests and a small one for control calls. */
final class TargetPool {
  /** A grant, a probe and a cancellation can be under way while another one hangs. */
  private static final int CONTROL_CONNECTIONS = 4;

  private static final int CONNECT_MILLIS = 200;

  /** Dispatchers send no more than slots allow, so a longer queue shows a fault. */
  private static final int PENDING_PER_CONNECTION = 2;

  private final Address address;
  private final int connections;
  private final ConnectionProvider requestProvider;
  private final ConnectionProvider controlProvider;
  private final TargetRequests requests;
  private final TargetControl control;

  TargetPool(TargetId target, Address address, int connections) {
    this.address = address;
    this.connections = connections;
    this.requestProvider = provider("requests-" + target, connections);
    this.controlProvider = provider("control-" + target, CONTROL_CONNECTIONS);
    this.requests = new TargetRequests(client(requestProvider));
    this.control = new TargetControl(client(controlProvider));
  }

  TargetRequests requests() {
    return requests;
  }

  TargetControl control() {
    return control;
  }

  boolean fits(Address wanted, int wantedConnections) {
    return address.equals(wanted) && connections == wantedConnections;
  }

  void close() {
    requests.close();
    requestProvider.dispose();
    controlProvider.dispose();
  }

  private static ConnectionProvider provider(String name, int connections) {
    return ConnectionProvider.builder(name)
        .maxConnections(connections)
        .pendingAcquireMaxCount(connections * PENDING_PER_CONNECTION)
        .pendingAcquireTimeout(Duration.ofMillis(CONNECT_MILLIS))
        .lifo()
        .build();
  }

  private HttpClient client(ConnectionProvider provider) {
    InetSocketAddress remote = new InetSocketAddress(address.host(), address.port());
    return HttpClient.create(provider)
        .remoteAddress(() -> remote)
        .resolver(DefaultAddressResolverGroup.INSTANCE)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        // A second send after a reset could run a request twice.
        .disableRetry(true);
  }
}
