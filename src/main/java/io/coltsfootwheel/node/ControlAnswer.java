package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.routing.Configuration;
import java.util.Optional;

/** Answer of a control process to a target or an operator. */
public sealed interface ControlAnswer {
  /**
   * A report is acknowledged.
   *
   * @param grant what the target is to hold; empty when nothing is renewed
   * @param leader the process to which later reports should go
   */
  record Acknowledged(Optional<LeaseGrant> grant, InstanceId leader) implements ControlAnswer {}

  /** A change is in force, or a target's departure is recorded. */
  record Accepted() implements ControlAnswer {}

  /**
   * The change builds on another version than the current one.
   *
   * @param currentVersion the current version
   */
  record Conflict(long currentVersion) implements ControlAnswer {}

  /**
   * The change is not valid.
   *
   * @param reason what is wrong
   */
  record Invalid(String reason) implements ControlAnswer {}

  /**
   * The newest configuration.
   *
   * @param configuration the configuration
   */
  record Current(Configuration configuration) implements ControlAnswer {}

  /**
   * Another process leads.
   *
   * @param leader that process
   */
  record Redirect(InstanceId leader) implements ControlAnswer {}

  /**
   * Nothing can be said for certain now; the same call may be sent again to any control process.
   *
   * @param reason why
   */
  record Unavailable(String reason) implements ControlAnswer {}
}
