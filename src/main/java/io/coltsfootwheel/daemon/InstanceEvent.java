package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.model.InstanceId;

/** Input to the decisions of an instance; all times are monotonic nanoseconds. */
sealed interface InstanceEvent {
  /**
   * Returns the time of the event.
   *
   * @return monotonic time in nanoseconds
   */
  long nowNanos();

  /** Periodic event on which timers are checked. */
  record Tick(long nowNanos) implements InstanceEvent {}

  /** Event of the replicated log. */
  record Replication(ReplicationEvent event) implements InstanceEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** The journal is open again after a failed write; the member continues from its content. */
  record MemberReopened(long nowNanos, MemberReducer member) implements InstanceEvent {}

  /** Event of the dispatchers of this instance. */
  record Dispatch(DispatchEvent event) implements InstanceEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Event of the entry router of this instance. */
  record Entry(EntryEvent event) implements InstanceEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Control message from another instance. */
  record MessageReceived(long nowNanos, InstanceId from, ControlMessage message)
      implements InstanceEvent {}

  /** Request to have a command committed by the control group. */
  record ProposalRequested(long nowNanos, long proposalId, Command command)
      implements InstanceEvent {}

  /** Request of an operator for the report of the leader on the fleet. */
  record ReportRequested(long nowNanos, long requestId) implements InstanceEvent {}

  /** Request of an operator to remove an instance from the control group. */
  record RemovalRequested(long nowNanos, long requestId, InstanceId instance)
      implements InstanceEvent {}

  /** Request to shut down gracefully. */
  record ShutdownRequested(long nowNanos) implements InstanceEvent {}
}
