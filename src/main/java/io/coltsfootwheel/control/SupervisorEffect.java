package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Renewal;

/** Output of the {@link Supervisor}, executed by the driver in the given order. */
public sealed interface SupervisorEffect {
  /**
   * Propose a command for the replicated log.
   *
   * @param command the command
   */
  record ProposeCommand(Command command) implements SupervisorEffect {}

  /**
   * Acknowledge a renewal once a quorum round that begins now has confirmed the leadership.
   *
   * @param renewal the renewal
   */
  record AllowRenewal(Renewal renewal) implements SupervisorEffect {}

  /**
   * Refuse a renewal, which then does not extend the lease.
   *
   * @param renewal the renewal
   * @param kind NO_LEASE for a session that is unknown or whose expiry was proposed, after which
   *     the instance must register again; NOT_LEADER when this member does not lead
   */
  record RefuseRenewal(Renewal renewal, ErrorKind kind) implements SupervisorEffect {}
}
