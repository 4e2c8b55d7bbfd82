package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import java.util.List;

/** Server over Reactor Netty. */
final class NettyOperatorServer implements OperatorServer {
  NettyOperatorServer(String host, int port, String token, List<OperatorRoute> routes) {}

  @Override
  public Address start() {
    throw new UnsupportedOperationException("start");
  }

  @Override
  public void close() {}
}
