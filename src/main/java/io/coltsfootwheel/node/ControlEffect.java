package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Map;
import java.util.Set;

/** What a control process does after a decision; the driver executes it. */
sealed interface ControlEffect {
  /** Sends a message; losing it is harmless. */
  record Send(InstanceId to, NodeMessage message) implements ControlEffect {}

  /** Writes and syncs part of the replicated log. */
  record Persist(ReplicationEffect effect) implements ControlEffect {}

  /** The journal has failed; it has to be closed and opened again. */
  record JournalLost() implements ControlEffect {}

  /** Replaces the processes to which links are kept: members by name, entries by address. */
  record Peers(Set<InstanceId> members, Map<InstanceId, Address> entries)
      implements ControlEffect {}

  /** Answers a call. */
  record Answer(long requestId, ControlAnswer answer) implements ControlEffect {}

  /** Writes one line of the structured log. */
  record Log(LogEvent event) implements ControlEffect {}
}
