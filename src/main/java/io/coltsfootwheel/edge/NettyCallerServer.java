package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import java.util.function.Supplier;

/** Server over Reactor Netty. */
final class NettyCallerServer implements CallerServer {
  NettyCallerServer(
      CallerServerSettings settings,
      RequestHandler handler,
      TargetAnnouncements announcements,
      Supplier<String> stamp) {}

  @Override
  public Address start() {
    throw new UnsupportedOperationException("start");
  }

  @Override
  public void refuseNew(boolean refuse) {}

  @Override
  public int inFlight() {
    return 0;
  }

  @Override
  public void close() {}
}
