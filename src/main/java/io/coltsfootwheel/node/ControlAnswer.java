package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.routing.Configuration;
import java.util.Optional;

/** Answer of a control process to a target or an operator. */
public sealed interface ControlAnswer {
  /**
   * The report of a target was processed.
   *
   * @param grant key ranges that the target owns and their lease; empty when no lease is renewed
   * @param leader control leader, to which later reports are sent
   */
  record Acknowledged(Optional<LeaseGrant> grant, InstanceId leader) implements ControlAnswer {}

  /** The configuration change, the removal of the target or the evacuation order was committed. */
  record Accepted() implements ControlAnswer {}

  /**
   * The base version of the change is not the current version.
   *
   * @param currentVersion the current version
   */
  record Conflict(long currentVersion) implements ControlAnswer {}

  /**
   * The change or the order is not valid.
   *
   * @param reason what is wrong
   */
  record Invalid(String reason) implements ControlAnswer {}

  /**
   * The current configuration.
   *
   * @param configuration the configuration
   */
  record Current(Configuration configuration) implements ControlAnswer {}

  /**
   * Another process is the control leader; the caller has to repeat the call there.
   *
   * @param leader the control leader
   */
  record Redirect(InstanceId leader) implements ControlAnswer {}

  /**
   * The outcome of the call is unknown; the same call may be sent again to any control process.
   *
   * @param reason why no definite answer is possible
   */
  record Unavailable(String reason) implements ControlAnswer {}
}
