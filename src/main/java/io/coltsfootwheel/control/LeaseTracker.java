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

/**
 * Leases of the registered sessions as the control leader, which grants them, measures them.
 *
 * <p>The leader counts a lease from the receipt of a renewal and waits longer than the holder does,
 * so that a lease has run out at its holder before it expires here.
 */
final class LeaseTracker {
  /** Age of its last renewal at which an instance stops receiving new dispatch grants. */
  private static final long MAX_RENEWAL_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time since the last renewal after which the lease has run out at the instance too. */
  private static final long EXPIRY_NANOS =
      ControlTiming.grantorWaitNanos(ControlTiming.LEASE_MILLIS);

  private final Map<InstanceId, Lease> leases = new HashMap<>();

  /** Registrations whose lease has run out and whose expiry is not applied yet. */
  private final Set<Registration> expiredRegistrations = new HashSet<>();

  void clear() {
    leases.clear();
    expiredRegistrations.clear();
  }

  /**
   * Starts a lease for each new registration, also without a renewal, and removes the leases of
   * registrations that ended.
   */
  void update(ControlState state, long nowNanos) {
    for (InstanceState instance : state.content().instances().values()) {
      Registration registration = Registration.of(instance);
      Lease lease = leases.get(instance.spec().id());
      if (lease == null || !lease.registration().equals(registration)) {
        leases.put(instance.spec().id(), Lease.started(registration, nowNanos));
      }
    }
    leases.values().removeIf(lease -> !isRegistered(state, lease.registration()));
    expiredRegistrations.removeIf(registration -> !isRegistered(state, registration));
  }

  private static boolean isRegistered(ControlState state, Registration registration) {
    return state
        .content()
        .instances()
        .get(registration.instance())
        .filter(instance -> Registration.of(instance).equals(registration))
        .isPresent();
  }

  /**
   * Extends the lease of an instance.
   *
   * @return false when the session is unknown or its expiry was proposed; the holder must then not
   *     get an acknowledgement, because its grants may be given to others at any moment
   */
  boolean renew(Renewal renewal, long nowNanos) {
    Lease lease = leases.get(renewal.instance());
    if (lease == null
        || !lease.registration().session().equals(renewal.session())
        || expiredRegistrations.contains(lease.registration())) {
      return false;
    }
    leases.put(renewal.instance(), lease.withRenewal(renewal, nowNanos));
    return true;
  }

  /**
   * Tells whether a renewal was sent before one that was already received from the same session.
   */
  boolean isOutOfOrder(Renewal renewal) {
    Lease lease = leases.get(renewal.instance());
    return lease != null
        && lease.hasRenewal()
        && lease.registration().session().equals(renewal.session())
        && renewal.sentNanos() < lease.renewalSentNanos();
  }

  /**
   * Returns the registrations whose lease has run out with clock drift and margin allowed for, in
   * the order of their log indexes. Their leases are not renewed from now on.
   */
  List<Registration> expired(long nowNanos) {
    leases.values().stream()
        .filter(lease -> nowNanos - lease.extendedNanos() >= EXPIRY_NANOS)
        .forEach(lease -> expiredRegistrations.add(lease.registration()));
    return expiredRegistrations.stream().sorted().toList();
  }

  /**
   * Tells whether an instance may receive dispatch grants: it has renewed its lease recently, does
   * not leave, and the expiry of its session was not proposed.
   */
  boolean mayReceiveGrants(InstanceId instance, long nowNanos) {
    Lease lease = leases.get(instance);
    return lease != null
        && lease.hasRenewal()
        && !lease.leaving()
        && nowNanos - lease.extendedNanos() < MAX_RENEWAL_AGE_NANOS
        && !expiredRegistrations.contains(lease.registration());
  }

  /**
   * Registration of one session of an instance.
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

  /**
   * Lease of one registration.
   *
   * @param registration the registration
   * @param extendedNanos time of the last renewal, or of the start of the lease
   * @param hasRenewal false until the first renewal
   * @param renewalSentNanos send time of the last renewal by the clock of the instance
   * @param leaving true when the last renewal announced that the instance leaves
   */
  private record Lease(
      Registration registration,
      long extendedNanos,
      boolean hasRenewal,
      long renewalSentNanos,
      boolean leaving) {
    static Lease started(Registration registration, long nowNanos) {
      return new Lease(registration, nowNanos, false, 0, false);
    }

    Lease withRenewal(Renewal renewal, long nowNanos) {
      return new Lease(registration, nowNanos, true, renewal.sentNanos(), renewal.leaving());
    }
  }
}
