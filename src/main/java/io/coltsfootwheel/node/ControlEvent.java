package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import java.util.List;

/** Anything that a control process decides upon; times are monotonic nanoseconds. */
sealed interface ControlEvent {
  /** Returns the time of the event. */
  long nowNanos();

  /** Passage of time; quorum rounds begin with it. */
  record Tick(long nowNanos) implements ControlEvent {}

  /** The settings name other control processes to ask. */
  record SeedsChanged(long nowNanos, List<InstanceId> seeds) implements ControlEvent {}

  /** Outcome of a write to the journal. */
  record Journal(ReplicationEvent event) implements ControlEvent {
    @Override
    public long nowNanos() {
      return event.nowNanos();
    }
  }

  /** Message of another process. */
  record MessageReceived(long nowNanos, InstanceId from, NodeMessage message)
      implements ControlEvent {}

  /** Report of a target; answered under the request number. */
  record ReportReceived(long nowNanos, long requestId, HeartbeatReport report)
      implements ControlEvent {}

  /** Word of a target that it leaves. */
  record LeaveReceived(long nowNanos, long requestId, TargetId target) implements ControlEvent {}

  /** Change of the configuration by an operator. */
  record ChangeRequested(long nowNanos, long requestId, ConfigurationChange change)
      implements ControlEvent {}

  /** Question of an operator for the configuration. */
  record ReadRequested(long nowNanos, long requestId) implements ControlEvent {}
}
