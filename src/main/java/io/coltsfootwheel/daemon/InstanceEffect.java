package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Optional;

/** What an instance does after a decision; drivers execute it. */
sealed interface InstanceEffect {

  /** Sends a control message to another instance. */
  record SendMessage(InstanceId to, ControlMessage message) implements InstanceEffect {}

  /** Keeps a link open to an instance that may not be registered. */
  record AddPeer(InstanceId instance, Address linkAddress) implements InstanceEffect {}

  /** Writes and syncs part of the replicated log. */
  record Persist(ReplicationEffect.Persist effect) implements InstanceEffect {}

  /** Writes and syncs a snapshot of the replicated log. */
  record PersistSnapshot(ReplicationEffect.PersistSnapshot effect) implements InstanceEffect {}

  /** Answers a proposal of this instance; without a result its outcome is unknown. */
  record AnswerProposal(long proposalId, Optional<CommandResult> result)
      implements InstanceEffect {}

  /** Answers an operator's request for the leader's report. */
  record AnswerReport(long requestId, LeaderReport report) implements InstanceEffect {}

  /** Executes an effect of a dispatcher. */
  record Dispatch(DispatchEffect effect) implements InstanceEffect {}

  /** Executes an effect of the entry side. */
  record Entry(EntryEffect effect) implements InstanceEffect {}

  /** Publishes a newer control state to routing, links and target connections. */
  record PublishState(ControlState state) implements InstanceEffect {}

  /** Writes one log line about a change of state. */
  record LogChange(String text) implements InstanceEffect {}

  /** Nothing is left to do before the process may end. */
  record ShutdownReady() implements InstanceEffect {}
}
