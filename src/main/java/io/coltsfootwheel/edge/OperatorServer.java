package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import java.util.List;

/**
 * HTTP server for operators.
 *
 * <p>Usage: {@code OperatorServer.of("127.0.0.1", 0, token, routes).start()}.
 */
public interface OperatorServer extends AutoCloseable {
  /**
   * Returns a server that is not started yet.
   *
   * @param host IP address to listen on
   * @param port port to listen on, 0 for any free port
   * @param token bearer token that operators must send
   * @param routes routes to serve
   * @return the server
   */
  static OperatorServer of(String host, int port, String token, List<OperatorRoute> routes) {
    return new NettyOperatorServer(host, port, token, routes);
  }

  /**
   * Starts to listen.
   *
   * @return the bound address
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the address cannot be bound
   */
  Address start();

  /** Stops listening and closes all connections. */
  @Override
  void close();
}
