package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Renewal;

/** Output of the {@link Supervisor}, executed by the driver in the given order. */
public sealed interface SupervisorEffect {
  /**
   * Append a command to the replicated log.
   *
   * @param command the command
   */
  record ProposeCommand(Command command) implements SupervisorEffect {}

  /**
   * Acknowledge a renewal after a quorum round that begins now.
   *
   * @param renewal the renewal
   */
  record AllowRenewal(Renewal renewal) implements SupervisorEffect {}

  /**
   * Refuse a renewal; the instance must register again.
   *
   * @param renewal the renewal
   * @param kind NO_LEASE for an unknown or expired session, NOT_LEADER otherwise
   */
  record RefuseRenewal(Renewal renewal, ErrorKind kind) implements SupervisorEffect {}
}
