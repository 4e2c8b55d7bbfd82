package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Optional;

/** Action that follows from a decision of an instance and is executed by a driver. */
sealed interface InstanceEffect {

  /** Sends a control message to another instance. */
  record SendMessage(InstanceId to, ControlMessage message) implements InstanceEffect {}

  /** Opens and keeps a link to an instance that may not be registered. */
  record AddPeer(InstanceId instance, Address linkAddress) implements InstanceEffect {}

  /** Writes and syncs part of the replicated log. */
  record Persist(ReplicationEffect.Persist effect) implements InstanceEffect {}

  /** Writes and syncs a snapshot of the replicated log. */
  record PersistSnapshot(ReplicationEffect.PersistSnapshot effect) implements InstanceEffect {}

  /**
   * Opens the journal again after a failed write, as soon as that succeeds. {@link
   * InstanceEvent.MemberReopened} follows.
   */
  record ReopenJournal() implements InstanceEffect {}

  /** Completes a proposal of this instance; an empty result means that its outcome is unknown. */
  record AnswerProposal(long proposalId, Optional<CommandResult> result)
      implements InstanceEffect {}

  /** Completes the request of an operator for the report of the leader. */
  record AnswerReport(long requestId, LeaderReport report) implements InstanceEffect {}

  /** Executes an effect of a dispatcher. */
  record Dispatch(DispatchEffect effect) implements InstanceEffect {}

  /** Executes an effect of the entry router. */
  record Entry(EntryEffect effect) implements InstanceEffect {}

  /** Publishes a new control state to the servers, links and connection pools. */
  record PublishState(ControlState state) implements InstanceEffect {}

  /** Logs a change of the role or of the session. */
  record LogChange(String text) implements InstanceEffect {}

  /** Reports that the grants are returned or expired, so that the process may end. */
  record ShutdownReady() implements InstanceEffect {}
}
