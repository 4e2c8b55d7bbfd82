package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.model.InstanceId;

/** Anything that an instance decides upon; times are monotonic nanoseconds. */
sealed interface InstanceEvent {
  /**
   * Returns the time of the event.
   *
   * @return monotonic time in nanoseconds
   */
  long nowNanos();

  /** Passage of time. */
  record Tick(long nowNanos) implements InstanceEvent {}

  /** Event of the replicated log. */
  record Replication(ReplicationEvent event) implements InstanceEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Event of the dispatchers of this instance. */
  record Dispatch(DispatchEvent event) implements InstanceEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Event of the entry side of this instance. */
  record Entry(EntryEvent event) implements InstanceEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Control message from another instance. */
  record MessageReceived(long nowNanos, InstanceId from, ControlMessage message)
      implements InstanceEvent {}

  /** Command that this instance wants committed. */
  record ProposalRequested(long nowNanos, long proposalId, Command command)
      implements InstanceEvent {}

  /** An operator wants the leader's report on the fleet. */
  record ReportRequested(long nowNanos, long requestId) implements InstanceEvent {}

  /** An operator wants an instance removed from the control group. */
  record RemovalRequested(long nowNanos, long requestId, InstanceId instance)
      implements InstanceEvent {}

  /** Graceful shutdown was asked for. */
  record ShutdownRequested(long nowNanos) implements InstanceEvent {}
}
