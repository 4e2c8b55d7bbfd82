package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Renewal;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Leases of the registered sessions as the grantor counts them. */
final class Leases {
  /** An instance without a renewal for this time gets no new targets. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final long WAIT_NANOS = ControlTiming.grantorWaitNanos(ControlTiming.LEASE_MILLIS);

  private final Map<InstanceId, Lease> leases = new HashMap<>();
  private final Set<Registration> expiring = new HashSet<>();

  void clear() {
    leases.clear();
    expiring.clear();
  }

  /** Starts to count for new registrations and forgets those that ended. */
  void update(ControlState state, long nowNanos) {
    for (InstanceState instance : state.content().instances().values()) {
      Registration registration = Registration.of(instance);
      Lease lease = leases.get(instance.spec().id());
      if (lease == null || !lease.registration().equals(registration)) {
        leases.put(instance.spec().id(), Lease.started(registration, nowNanos));
      }
    }
    leases.values().removeIf(l -> !isRegistered(state, l.registration()));
    expiring.removeIf(r -> !isRegistered(state, r));
  }

  private static boolean isRegistered(ControlState state, Registration registration) {
    return state
        .content()
        .instances()
        .get(registration.instance())
        .filter(i -> Registration.of(i).equals(registration))
        .isPresent();
  }

  /**
   * Counts a renewal.
   *
   * @return false when the session is unknown or its expiry was proposed; the holder must then not
   *     get an acknowledgement, because its grants may move at any moment
   */
  boolean renew(Renewal renewal, long nowNanos) {
    Lease lease = leases.get(renewal.instance());
    if (lease == null
        || !lease.registration().session().equals(renewal.session())
        || expiring.contains(lease.registration())) {
      return false;
    }
    leases.put(renewal.instance(), lease.renewed(renewal, nowNanos));
    return true;
  }

  /** Tells whether a renewal was sent before one that already arrived. */
  boolean isOutOfOrder(Renewal renewal) {
    Lease lease = leases.get(renewal.instance());
    return lease != null
        && lease.renewed()
        && lease.registration().session().equals(renewal.session())
        && renewal.sentNanos() < lease.sentNanos();
  }

  /** Returns registrations whose lease has certainly run out; they get no renewal from now on. */
  List<Registration> expired(long nowNanos) {
    leases.values().stream()
        .filter(l -> nowNanos - l.seenNanos() >= WAIT_NANOS)
        .forEach(l -> expiring.add(l.registration()));
    return expiring.stream().sorted().toList();
  }

  /** Tells whether an instance may get dispatch grants. */
  boolean mayDispatch(InstanceId instance, long nowNanos) {
    Lease lease = leases.get(instance);
    return lease != null
        && lease.renewed()
        && !lease.leaving()
        && nowNanos - lease.seenNanos() < FRESH_NANOS
        && !expiring.contains(lease.registration());
  }

  /**
   * Session of an instance at one registration.
   *
   * @param instance the instance
   * @param session its session
   * @param index log index of the registration
   */
  record Registration(InstanceId instance, String session, long index)
      implements Comparable<Registration> {
    static Registration of(InstanceState instance) {
      return new Registration(
          instance.spec().id(), instance.spec().session(), instance.registeredIndex());
    }

    @Override
    public int compareTo(Registration other) {
      return Long.compare(index, other.index);
    }
  }

  private record Lease(
      Registration registration, long seenNanos, boolean renewed, long sentNanos, boolean leaving) {
    static Lease started(Registration registration, long nowNanos) {
      return new Lease(registration, nowNanos, false, 0, false);
    }

    Lease renewed(Renewal renewal, long nowNanos) {
      return new Lease(registration, nowNanos, true, renewal.sentNanos(), renewal.leaving());
    }
  }
}
