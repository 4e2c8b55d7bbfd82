package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetLeave;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.routing.ConfigurationChange;
import java.util.List;

/** Input of the decision logic of a control process; times are monotonic nanoseconds. */
sealed interface ControlEvent {
  /** Returns the time of the event. */
  long nowNanos();

  /** Periodic event; quorum rounds and timeouts are started and checked on it. */
  record Tick(long nowNanos) implements ControlEvent {}

  /** The settings file lists other seeds. */
  record SeedsChanged(long nowNanos, List<InstanceId> seeds) implements ControlEvent {}

  /** Result of a write to the journal. */
  record JournalResult(ReplicationEvent event) implements ControlEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Message received from another process. */
  record MessageReceived(long nowNanos, InstanceId from, NodeMessage message)
      implements ControlEvent {}

  /** Messages sent to another process may be lost, because there is no link to it. */
  record LinkLost(long nowNanos, InstanceId peer) implements ControlEvent {}

  /** Heartbeat report of a target; the answer carries the same request number. */
  record ReportReceived(long nowNanos, long requestId, HeartbeatReport report)
      implements ControlEvent {}

  /** Request of a target to be removed because it shuts down. */
  record LeaveReceived(long nowNanos, long requestId, TargetLeave leave) implements ControlEvent {}

  /** End of a call to a target. */
  record TargetCallEnded(long nowNanos, TargetCall call, TargetCallResult result)
      implements ControlEvent {}

  /** Operator's request to change the configuration. */
  record ChangeRequested(long nowNanos, long requestId, ConfigurationChange change)
      implements ControlEvent {}

  /** Operator's order to start or end the evacuation of an availability zone. */
  record EvacuationRequested(long nowNanos, long requestId, FleetCommand.SetZoneEvacuation order)
      implements ControlEvent {}

  /** Operator's request for the current configuration. */
  record ReadRequested(long nowNanos, long requestId) implements ControlEvent {}
}
