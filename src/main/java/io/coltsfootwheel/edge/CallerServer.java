package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import java.util.function.Supplier;

/**
 * HTTP server for requests of callers and announcements of targets.
 *
 * <p>Usage: {@code CallerServer server = CallerServer.of(settings, handler, announcements,
 * stampSupplier); Address address = server.start();}
 */
public interface CallerServer extends AutoCloseable {
  /**
   * Returns a server that is not started yet.
   *
   * @param settings address and limits
   * @param handler routes the requests of callers
   * @param announcements handles the announcements of targets
   * @param stampSupplier supplies the value of {@code Coltsfootwheel-Stamp}, empty for none
   * @return the server
   */
  static CallerServer of(
      CallerServerSettings settings,
      RequestHandler handler,
      TargetAnnouncements announcements,
      Supplier<String> stampSupplier) {
    return new NettyCallerServer(settings, handler, announcements, stampSupplier);
  }

  /**
   * Starts to listen.
   *
   * @return the bound address
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the address cannot be bound
   */
  Address start();

  /**
   * Sets whether new requests are refused with {@code SHUTTING_DOWN}; requests in flight continue.
   *
   * @param refuse true to refuse new requests, false to accept them
   */
  void refuseNewRequests(boolean refuse);

  /**
   * Returns the number of requests in flight.
   *
   * @return number of requests whose response is not complete
   */
  int inFlight();

  /** Stops listening and closes all connections. */
  @Override
  void close();
}
