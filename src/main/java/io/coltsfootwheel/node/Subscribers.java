package io.coltsfootwheel.node;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Entries that ask this process for routing information. */
final class Subscribers {
  private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Map<InstanceId, Subscriber> byId = new LinkedHashMap<>();

  private record Subscriber(Address linkAddress, long heardNanos) {}

  /** Notes that an entry was heard; returns true when its address is new. */
  boolean heard(long nowNanos, InstanceId entry, Address linkAddress) {
    Subscriber before = byId.put(entry, new Subscriber(linkAddress, nowNanos));
    return before == null || !before.linkAddress().equals(linkAddress);
  }

  /** Forgets silent entries; returns true when there were any. */
  boolean forgetSilent(long nowNanos) {
    return byId.values().removeIf(s -> nowNanos - s.heardNanos() > VALID_NANOS);
  }

  List<InstanceId> entries() {
    return List.copyOf(byId.keySet());
  }

  Map<InstanceId, Address> addresses() {
    Map<InstanceId, Address> addresses = new LinkedHashMap<>();
    byId.forEach((id, subscriber) -> addresses.put(id, subscriber.linkAddress()));
    return addresses;
  }
}
