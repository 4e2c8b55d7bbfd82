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
 * Keeps the session and the lease of this instance.
 *
 * <p>A session ends when the control group has expired it; the instance then registers again under
 * a new session, because the leader allows no renewal of an expired one.
 */
final class LeaseClient {
  private static final long RENEW_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.RENEW_INTERVAL_MILLIS);
  private static final long REGISTER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Two renewals and the wait for the leader's quorum round fit into this time. */
  private static final long LEADER_SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final InstanceSpec spec;
  private final String processSession;
  private int epoch;
  private boolean wasRegistered;
  private long nextRenewNanos;
  private long nextRegisterNanos;
  private long lastAckNanos;
  private long lastCurrentNanos;
  private long leaseUntilNanos;
  private Optional<InstanceId> leader = Optional.empty();

  LeaseClient(InstanceSpec spec, long nowNanos) {
    this.spec = spec;
    this.processSession = spec.session();
    this.nextRenewNanos = nowNanos;
    this.nextRegisterNanos = nowNanos;
    this.lastAckNanos = nowNanos - LEADER_SILENT_NANOS;
    this.lastCurrentNanos = nowNanos;
    this.leaseUntilNanos = nowNanos;
  }

  /**
   * Returns the session under which this instance holds its lease and its grants.
   *
   * @return the session of the process with the number of the present registration
   */
  String session() {
    return processSession + "." + epoch;
  }

  /**
   * Returns the registration of this instance under its present session.
   *
   * @return the specification to register
   */
  InstanceSpec registration() {
    return new InstanceSpec(
        spec.id(), spec.zone(), spec.linkAddress(), spec.httpAddress(), session());
  }

  /**
   * Tells whether a state holds the present session.
   *
   * @param state the control state
   * @return true when this instance is registered
   */
  boolean isRegistered(ControlState state) {
    return state.instance(spec.id()).filter(i -> i.session().equals(session())).isPresent();
  }

  /**
   * Takes notice of a newer control state.
   *
   * @param state the state
   * @return true when the present session has expired and a new one has begun
   */
  boolean observe(ControlState state) {
    boolean registered = isRegistered(state);
    boolean expired = wasRegistered && !registered;
    wasRegistered = registered;
    if (expired) {
      epoch++;
    }
    return expired;
  }

  /**
   * Returns the registration command when it is due.
   *
   * @param nowNanos monotonic time
   * @param state the control state
   * @return the command, or empty while registered or not due
   */
  Optional<Command> registrationDue(long nowNanos, ControlState state) {
    if (isRegistered(state) || nowNanos - nextRegisterNanos < 0) {
      return Optional.empty();
    }
    nextRegisterNanos = nowNanos + REGISTER_NANOS;
    return Optional.of(new Command.RegisterInstance(registration()));
  }

  /**
   * Tells whether a renewal is due, and counts it as sent.
   *
   * @param nowNanos monotonic time
   * @param state the control state
   * @return true when a renewal is to be sent now
   */
  boolean isRenewalDue(long nowNanos, ControlState state) {
    if (!isRegistered(state) || nowNanos - nextRenewNanos < 0) {
      return false;
    }
    nextRenewNanos = nowNanos + RENEW_NANOS;
    return true;
  }

  /**
   * Returns a renewal of the present session.
   *
   * @param nowNanos monotonic time, echoed by the leader
   * @param appliedIndex index that this instance has applied
   * @param leaving true when the instance gives its grants back
   * @param reports one report for each target that it dispatches to
   * @return the renewal
   */
  Renewal renewal(long nowNanos, long appliedIndex, boolean leaving, List<TargetReport> reports) {
    return new Renewal(spec.id(), session(), nowNanos, appliedIndex, leaving, reports);
  }

  /**
   * Takes an acknowledgement.
   *
   * @param nowNanos monotonic time
   * @param from the leader that sent it
   * @param ack the acknowledgement
   * @param appliedIndex index that this instance has applied
   * @return the end of the lease when it was extended, or empty for an outdated acknowledgement
   */
  Optional<Long> acknowledged(long nowNanos, InstanceId from, RenewalAck ack, long appliedIndex) {
    if (!ack.session().equals(session())) {
      return Optional.empty();
    }
    leader = Optional.of(from);
    lastAckNanos = nowNanos;
    if (appliedIndex >= ack.commitIndex()) {
      lastCurrentNanos = nowNanos;
    }
    long untilNanos = ack.sentNanos() + TimeUnit.MILLISECONDS.toNanos(ack.leaseMillis());
    if (untilNanos - leaseUntilNanos <= 0) {
      return Optional.empty();
    }
    leaseUntilNanos = untilNanos;
    return Optional.of(untilNanos);
  }

  /**
   * Returns the leader to talk to.
   *
   * @param nowNanos monotonic time
   * @return the leader, or empty when it is not known or has not answered lately
   */
  Optional<InstanceId> leader(long nowNanos) {
    return nowNanos - lastAckNanos <= LEADER_SILENT_NANOS ? leader : Optional.empty();
  }

  /**
   * Tells whether the lease holds.
   *
   * @param nowNanos monotonic time
   * @return true until the lease ends
   */
  boolean isLeased(long nowNanos) {
    return leaseUntilNanos - nowNanos > 0;
  }

  /**
   * Tells whether the lists may be outdated for too long to admit requests.
   *
   * @param nowNanos monotonic time
   * @return true after the bound without proof of being current
   */
  boolean isStale(long nowNanos) {
    return nowNanos - lastCurrentNanos
        > TimeUnit.MILLISECONDS.toNanos(ControlTiming.STALE_LISTS_MILLIS);
  }

  /**
   * Tells whether the state lags behind the leader although the leader answers.
   *
   * @param nowNanos monotonic time
   * @param lagNanos tolerated lag
   * @return true when another source of the state should be tried
   */
  boolean isBehind(long nowNanos, long lagNanos) {
    return nowNanos - lastCurrentNanos > lagNanos;
  }
}
