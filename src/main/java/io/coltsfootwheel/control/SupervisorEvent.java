package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Renewal;

/** Input of the {@link Supervisor}; times are monotonic nanoseconds of this instance. */
public sealed interface SupervisorEvent {
  /**
   * This member has become control leader.
   *
   * @param nowNanos time of the event
   * @param state state after the first entry of the leader's own term was applied, after which no
   *     command of an earlier leader can be applied any more
   */
  record LeadershipGained(long nowNanos, ControlState state) implements SupervisorEvent {}

  /** This member is no longer control leader. */
  record LeadershipLost() implements SupervisorEvent {}

  /**
   * An instance asks to extend its lease.
   *
   * @param nowNanos time of receipt
   * @param renewal the request
   */
  record RenewalReceived(long nowNanos, Renewal renewal) implements SupervisorEvent {}

  /**
   * Committed commands were applied to the state.
   *
   * @param nowNanos time of the event
   * @param state the new state
   */
  record StateApplied(long nowNanos, ControlState state) implements SupervisorEvent {}

  /**
   * Time has passed; this event comes about every 50 ms.
   *
   * @param nowNanos time of the event
   */
  record Tick(long nowNanos) implements SupervisorEvent {}
}
