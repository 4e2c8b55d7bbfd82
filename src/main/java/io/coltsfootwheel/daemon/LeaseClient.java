package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.RenewalAck;
import io.coltsfootwheel.model.TargetReport;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Maintains the session and the lease of this instance.
 *
 * <p>When the control group has expired the session, the instance registers again under a new one,
 * because the leader allows no renewal of an expired session.
 */
final class LeaseClient {
  private static final long RENEW_INTERVAL_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.RENEW_INTERVAL_MILLIS);
  private static final long REGISTER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Time without an acknowledgement after which the leader counts as unknown. It covers two renewal
   * intervals and the round in which the leader confirms its leadership.
   */
  private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final InstanceSpec spec;
  private final String processSession;
  private int registrationNumber;
  private boolean wasRegistered;
  private long nextRenewNanos;
  private long nextRegisterNanos;
  private long lastAckNanos;
  private long lastUpToDateNanos;
  private long lastUpToDateAckNanos;
  private long leaseUntilNanos;
  private Optional<InstanceId> leader = Optional.empty();

  LeaseClient(InstanceSpec spec, long nowNanos) {
    this.spec = spec;
    this.processSession = spec.session();
    this.nextRenewNanos = nowNanos;
    this.nextRegisterNanos = nowNanos;
    this.lastAckNanos = nowNanos - LEADER_TIMEOUT_NANOS;
    this.lastUpToDateNanos = nowNanos;
    this.lastUpToDateAckNanos = nowNanos;
    this.leaseUntilNanos = nowNanos;
  }

  /**
   * Returns the session under which this instance holds its lease and its grants.
   *
   * @return the session of the process followed by the number of times that it has expired
   */
  String session() {
    return processSession + "." + registrationNumber;
  }

  /**
   * Returns the registration of this instance under its current session.
   *
   * @return the specification to register
   */
  InstanceSpec registration() {
    return new InstanceSpec(
        spec.id(), spec.zone(), spec.linkAddress(), spec.httpAddress(), session());
  }

  /**
   * Returns whether a control state contains the current session.
   *
   * @param state the control state
   * @return true when this instance is registered
   */
  boolean isRegistered(ControlState state) {
    return state
        .instance(spec.id())
        .filter(instance -> instance.session().equals(session()))
        .isPresent();
  }

  /**
   * Begins a new session when the current one was registered and a newer control state lacks it.
   *
   * @param state the state
   * @return true when a new session has begun
   */
  boolean restartSessionIfExpired(ControlState state) {
    boolean registered = isRegistered(state);
    boolean expired = wasRegistered && !registered;
    wasRegistered = registered;
    if (expired) {
      registrationNumber++;
    }
    return expired;
  }

  /**
   * Returns the registration command when it is due, and schedules the next attempt.
   *
   * @param nowNanos monotonic time
   * @param state the control state
   * @return the command, or empty while registered or not due
   */
  Optional<Command> registrationIfDue(long nowNanos, ControlState state) {
    if (isRegistered(state) || nowNanos - nextRegisterNanos < 0) {
      return Optional.empty();
    }
    nextRegisterNanos = nowNanos + REGISTER_RETRY_NANOS;
    return Optional.of(new Command.RegisterInstance(registration()));
  }

  /**
   * Returns whether a renewal is due, and schedules the next one if so.
   *
   * @param nowNanos monotonic time
   * @param state the control state
   * @return true when the caller must send a renewal now
   */
  boolean beginRenewalIfDue(long nowNanos, ControlState state) {
    if (!isRegistered(state) || nowNanos - nextRenewNanos < 0) {
      return false;
    }
    nextRenewNanos = nowNanos + RENEW_INTERVAL_NANOS;
    return true;
  }

  /**
   * Creates a renewal of the current session.
   *
   * @param nowNanos monotonic time, echoed by the leader
   * @param appliedIndex index that this instance has applied
   * @param leaving true when the instance shuts down and returns its grants
   * @param reports one report for each target that it dispatches to
   * @return the renewal
   */
  Renewal renewal(long nowNanos, long appliedIndex, boolean leaving, List<TargetReport> reports) {
    return new Renewal(spec.id(), session(), nowNanos, appliedIndex, leaving, reports);
  }

  /**
   * Handles the acknowledgement of a renewal.
   *
   * @param nowNanos monotonic time
   * @param from the leader that sent it
   * @param ack the acknowledgement
   * @param appliedIndex index that this instance has applied
   * @return the end of the lease when it was extended, or empty for an outdated acknowledgement
   */
  Optional<Long> handleAck(long nowNanos, InstanceId from, RenewalAck ack, long appliedIndex) {
    if (!ack.session().equals(session())) {
      return Optional.empty();
    }
    leader = Optional.of(from);
    lastAckNanos = nowNanos;
    if (appliedIndex >= ack.commitIndex()) {
      lastUpToDateAckNanos = nowNanos;
      if (ack.sentNanos() - lastUpToDateNanos > 0) {
        lastUpToDateNanos = ack.sentNanos();
      }
    }
    long untilNanos = ack.sentNanos() + TimeUnit.MILLISECONDS.toNanos(ack.leaseMillis());
    if (untilNanos - leaseUntilNanos <= 0) {
      return Optional.empty();
    }
    leaseUntilNanos = untilNanos;
    return Optional.of(untilNanos);
  }

  /**
   * Returns the leader that acknowledged a renewal last.
   *
   * @param nowNanos monotonic time
   * @return the leader, or empty when none has acknowledged a renewal in the last 200 ms
   */
  Optional<InstanceId> leader(long nowNanos) {
    return nowNanos - lastAckNanos <= LEADER_TIMEOUT_NANOS ? leader : Optional.empty();
  }

  /**
   * Returns whether the lease is valid.
   *
   * @param nowNanos monotonic time
   * @return true until the lease ends
   */
  boolean isLeased(long nowNanos) {
    return leaseUntilNanos - nowNanos > 0;
  }

  /**
   * Returns whether the lease ended long ago.
   *
   * @param nowNanos monotonic time
   * @param agoNanos time since the end of the lease
   * @return true when the lease ended at least that time ago
   */
  boolean hasEndedBefore(long nowNanos, long agoNanos) {
    return nowNanos - leaseUntilNanos >= agoNanos;
  }

  /**
   * Returns when the state was last known to be current: the time at which the renewal was sent
   * whose acknowledgement says so. The acknowledgement itself may have waited on its way.
   *
   * @return monotonic time in nanoseconds
   */
  long lastUpToDateNanos() {
    return lastUpToDateNanos;
  }

  /**
   * Returns whether the lists may be too old to admit requests.
   *
   * @param nowNanos monotonic time
   * @return true when the state has not been known to be current for {@link
   *     ControlTiming#STALE_LISTS_MILLIS}
   */
  boolean isStale(long nowNanos) {
    return nowNanos - lastUpToDateNanos
        > TimeUnit.MILLISECONDS.toNanos(ControlTiming.STALE_LISTS_MILLIS);
  }

  /**
   * Returns whether no acknowledgement has said for a given time that the state is current.
   *
   * @param nowNanos monotonic time
   * @param lagNanos the tolerated time
   * @return true when the source of the state may lag behind the leader
   */
  boolean isBehind(long nowNanos, long lagNanos) {
    return nowNanos - lastUpToDateAckNanos > lagNanos;
  }
}
