package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Peers to which links are kept: the current ones, and for a while those that were removed.
 *
 * <p>The session of an instance may expire while responses between it and this instance are in
 * progress. Without the link they would end with an unknown outcome.
 */
final class LingeringPeers {
  private final long lingerNanos;
  private final Map<InstanceId, Address> current = new HashMap<>();
  private final Map<InstanceId, Removed> removed = new HashMap<>();

  private record Removed(Address address, long sinceNanos) {}

  /**
   * Creates an empty set of peers.
   *
   * @param lingerMillis time for which the link to a removed peer is kept, in milliseconds
   */
  LingeringPeers(long lingerMillis) {
    this.lingerNanos = TimeUnit.MILLISECONDS.toNanos(lingerMillis);
  }

  /**
   * Replaces the current peers.
   *
   * @param nowNanos monotonic time
   * @param peers the current peers with their link addresses
   * @return these peers, and those that were removed recently
   */
  Map<InstanceId, Address> replace(long nowNanos, Map<InstanceId, Address> peers) {
    current.forEach((peer, address) -> removed.put(peer, new Removed(address, nowNanos)));
    removed.keySet().removeAll(peers.keySet());
    removed.values().removeIf(r -> nowNanos - r.sinceNanos() > lingerNanos);
    current.clear();
    current.putAll(peers);
    Map<InstanceId, Address> linked = new HashMap<>(peers);
    removed.forEach((peer, r) -> linked.put(peer, r.address()));
    return linked;
  }
}
