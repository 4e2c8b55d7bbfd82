package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.TargetId;
import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Connection pools of one target: one for requests and a small one for control calls. */
final class TargetPool {
  /** Allows a grant, a health check and a cancellation in flight while another call hangs. */
  private static final int CONTROL_CONNECTIONS = 4;

  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /**
   * Dispatchers send a target no more concurrent requests than its {@code slots}, so a longer queue
   * of requests that wait for a connection indicates an error.
   */
  private static final int MAX_PENDING_PER_CONNECTION = 2;

  private final Address address;
  private final int connections;
  private final ConnectionProvider requestProvider;
  private final ConnectionProvider controlProvider;
  private final TargetRequests requests;
  private final TargetControl control;

  TargetPool(TargetId target, Address address, int connections, long controlTimeoutMillis) {
    this.address = address;
    this.connections = connections;
    this.requestProvider = createProvider("requests-" + target, connections);
    this.controlProvider = createProvider("control-" + target, CONTROL_CONNECTIONS);
    this.requests = new TargetRequests(createClient(requestProvider));
    this.control = new TargetControl(createClient(controlProvider), controlTimeoutMillis);
  }

  TargetRequests requests() {
    return requests;
  }

  TargetControl control() {
    return control;
  }

  boolean matches(Address newAddress, int newConnections) {
    return address.equals(newAddress) && connections == newConnections;
  }

  /** Closes the pool when its requests in flight have ended. */
  void retire() {
    requests.retire(this::dispose);
  }

  void close() {
    requests.close();
    dispose();
  }

  private void dispose() {
    requestProvider.dispose();
    controlProvider.dispose();
  }

  private static ConnectionProvider createProvider(String name, int connections) {
    return ConnectionProvider.builder(name)
        .maxConnections(connections)
        .pendingAcquireMaxCount(connections * MAX_PENDING_PER_CONNECTION)
        .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
        .lifo()
        .build();
  }

  private HttpClient createClient(ConnectionProvider provider) {
    InetSocketAddress remote =
        address.isNumeric()
            ? new InetSocketAddress(address.host(), address.port())
            : InetSocketAddress.createUnresolved(address.host(), address.port());
    return HttpClient.create(provider)
        .remoteAddress(() -> remote)
        .resolver(DefaultAddressResolverGroup.INSTANCE)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .doOnChannelInit(
            (observer, channel, remoteAddress) -> UnrequestedBytesHandler.addTo(channel))
        // A retry after a connection reset could execute a request twice.
        .disableRetry(true);
  }
}
