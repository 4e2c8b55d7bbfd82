package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import java.util.function.Supplier;

/**
 * HTTP server for callers and for the announcements of targets.
 *
 * <p>Usage: {@code CallerServer server = CallerServer.of(settings, handler, announcements, stamps);
 * Address address = server.start();}
 */
public interface CallerServer extends AutoCloseable {
  /**
   * Returns a server that is not started yet.
   *
   * @param settings address and limits
   * @param handler routes requests
   * @param announcements accepts announcements of targets
   * @param stamp supplies the value of {@code Coltsfootwheel-Stamp}, empty for none
   * @return the server
   */
  static CallerServer of(
      CallerServerSettings settings,
      RequestHandler handler,
      TargetAnnouncements announcements,
      Supplier<String> stamp) {
    return new NettyCallerServer(settings, handler, announcements, stamp);
  }

  /**
   * Starts to listen.
   *
   * @return the bound address
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the address cannot be bound
   */
  Address start();

  /**
   * Refuses new requests as {@code SHUTTING_DOWN} and lets those in flight end.
   *
   * @param refuse true to refuse new requests
   */
  void refuseNew(boolean refuse);

  /**
   * Returns the number of requests in flight.
   *
   * @return requests whose response has not ended
   */
  int inFlight();

  /** Stops to listen and closes all connections. */
  @Override
  void close();
}
