package io.coltsfootwheel.listener;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Bounds the open connections of a listener, so that clients cannot use up the descriptors and the
 * memory of a process. A new connection beyond the bound replaces the one that has been without a
 * request for longest, and is refused when a request is in progress on all others. Thread-safe.
 */
public final class ConnectionLimiter {
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxConnections;

  /** Whether each connection may be closed, in the order of their last requests. */
  private final Map<Channel, BooleanSupplier> connections =
      new LinkedHashMap<>(16, LOAD_FACTOR, true);

  private long closedCount;

  /**
   * Creates a limiter.
   *
   * @param maxConnections connections that may be open at once
   */
  public ConnectionLimiter(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /**
   * Counts a new connection until it closes. Closes another one, or this one, beyond the bound.
   *
   * @param connection the connection
   * @param mayClose whether the connection may be closed for a new one; called on any event loop of
   *     the listener
   * @return false if the connection is refused; it is closed
   */
  public boolean admit(Channel connection, BooleanSupplier mayClose) {
    Optional<Channel> closed;
    synchronized (this) {
      closed = connections.size() < maxConnections ? Optional.empty() : replaceable(connection);
      closed.ifPresent(connections::remove);
      if (closed.isEmpty() || closed.get() != connection) {
        connections.put(connection, mayClose);
      }
      closedCount += closed.isPresent() ? 1 : 0;
    }
    closed.ifPresent(Channel::close);
    connection.closeFuture().addListener(future -> remove(connection));
    return closed.isEmpty() || closed.get() != connection;
  }

  private Optional<Channel> replaceable(Channel added) {
    for (Map.Entry<Channel, BooleanSupplier> entry : connections.entrySet()) {
      if (entry.getValue().getAsBoolean()) {
        return Optional.of(entry.getKey());
      }
    }
    return Optional.of(added);
  }

  /**
   * Records a request, so that the connection is among the last to be closed for a new one.
   *
   * @param connection the connection
   */
  public synchronized void recordRequest(Channel connection) {
    connections.get(connection);
  }

  private synchronized void remove(Channel connection) {
    connections.remove(connection);
  }

  /**
   * Returns the number of open connections.
   *
   * @return the number
   */
  public synchronized int openCount() {
    return connections.size();
  }

  /**
   * Returns how many connections were closed or refused because of the bound.
   *
   * @return the number
   */
  public synchronized long closedCount() {
    return closedCount;
  }
}
