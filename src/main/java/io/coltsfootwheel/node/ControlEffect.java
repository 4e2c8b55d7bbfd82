package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Map;
import java.util.Set;

/** Action that results from a decision of a control process; {@link ControlNode} executes it. */
sealed interface ControlEffect {
  /** Sends a message; delivery is not guaranteed. */
  record Send(InstanceId to, NodeMessage message) implements ControlEffect {}

  /** Writes and syncs part of the replicated log. */
  record Persist(ReplicationEffect effect) implements ControlEffect {}

  /** Closes the journal after a failed write, so that it is opened again. */
  record CloseJournal() implements ControlEffect {}

  /** Replaces the set of linked processes: control members by name, entries by address. */
  record Peers(Set<InstanceId> members, Map<InstanceId, Address> entries)
      implements ControlEffect {}

  /** Calls a target; the end of the call is reported by an event. */
  record CallTarget(TargetCall call) implements ControlEffect {}

  /** Answers a call. */
  record Answer(long requestId, ControlAnswer answer) implements ControlEffect {}

  /** Writes one line of the structured log. */
  record Log(LogEvent event) implements ControlEffect {}
}
