package io.coltsfootwheel.link;

import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Accepted connections with a complete handshake: one of each peer and channel. A peer opens a new
 * one only when it has given up the one before, which may be silent and then never reports its end.
 */
final class InboundConnections {
  private final AtomicLong acceptedCount = new AtomicLong();
  private final Map<Key, InboundHandler> current = new HashMap<>();

  private record Key(InstanceId peer, LinkChannel channel) {}

  /** Returns a number that is higher for each connection that is accepted later. */
  long nextAcceptNumber() {
    return acceptedCount.incrementAndGet();
  }

  /**
   * Adds a connection whose handshake is complete. Handshakes may complete in another order than
   * connections were accepted.
   *
   * @param peer the peer that opened the connection
   * @param channel channel of the connection
   * @param added the connection
   * @return the earlier connection of the peer for this channel, which has to be ended, if there is
   *     one; it may be the added one itself
   */
  synchronized Optional<InboundHandler> add(
      InstanceId peer, LinkChannel channel, InboundHandler added) {
    Key key = new Key(peer, channel);
    InboundHandler other = current.get(key);
    if (other != null && other.acceptNumber() > added.acceptNumber()) {
      return Optional.of(added);
    }
    current.put(key, added);
    return Optional.ofNullable(other);
  }

  synchronized void remove(InstanceId peer, LinkChannel channel, InboundHandler removed) {
    current.remove(new Key(peer, channel), removed);
  }
}
