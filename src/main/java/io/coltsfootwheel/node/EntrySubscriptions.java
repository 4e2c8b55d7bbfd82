package io.coltsfootwheel.node;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Entries that subscribe to routing updates of this process. */
final class EntrySubscriptions {
  private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Map<InstanceId, Subscription> subscriptionByEntry = new LinkedHashMap<>();

  private record Subscription(Address linkAddress, long lastContactNanos) {}

  /** Records a subscription; returns true when the entry is new or its address changed. */
  boolean heard(long nowNanos, InstanceId entry, Address linkAddress) {
    Subscription before = subscriptionByEntry.put(entry, new Subscription(linkAddress, nowNanos));
    return before == null || !before.linkAddress().equals(linkAddress);
  }

  /** Removes entries whose subscription expired; returns true when there were any. */
  boolean removeExpired(long nowNanos) {
    return subscriptionByEntry
        .values()
        .removeIf(s -> nowNanos - s.lastContactNanos() > VALID_NANOS);
  }

  List<InstanceId> entries() {
    return List.copyOf(subscriptionByEntry.keySet());
  }

  Map<InstanceId, Address> addresses() {
    Map<InstanceId, Address> addresses = new LinkedHashMap<>();
    subscriptionByEntry.forEach(
        (id, subscription) -> addresses.put(id, subscription.linkAddress()));
    return addresses;
  }
}
