package io.coltsfootwheel.consensus;

import java.util.List;
import java.util.Optional;

/** Output of {@link ReplicationReducer}; the driver executes effects in order. */
public sealed interface ReplicationEffect {
  /**
   * Sends a message. The message may be lost; the protocol sends it again where needed.
   *
   * @param to the receiver; its disk identity is the empty string when not known. The message is
   *     delivered to the instance whatever its disk identity is, and carries the identity of the
   *     sender.
   * @param message the message
   */
  record Send(MemberId to, ReplicationMessage message) implements ReplicationEffect {}

  /**
   * Writes and syncs the hard state and entries, then reports {@link ReplicationEvent.Persisted}.
   * Several effects may share one sync if they are written in order.
   *
   * @param sequence increases by 1 with each Persist and PersistSnapshot
   * @param hardState new hard state, empty when unchanged
   * @param truncateFrom index of the first entry to drop before the append, 0 for none
   * @param entries entries to append, in the order of their indexes
   */
  record Persist(
      long sequence, Optional<HardState> hardState, long truncateFrom, List<LogEntry> entries)
      implements ReplicationEffect {}

  /**
   * Writes and syncs a snapshot, then reports {@link ReplicationEvent.Persisted}.
   *
   * @param sequence increases by 1 with each Persist and PersistSnapshot
   * @param snapshot the snapshot
   * @param firstRetainedIndex entries with lower indexes may be dropped
   * @param replacesLog true when all entries must be dropped, because the snapshot came from the
   *     leader and the log does not contain its last entry
   */
  record PersistSnapshot(
      long sequence, ReplicationSnapshot snapshot, long firstRetainedIndex, boolean replacesLog)
      implements ReplicationEffect {}

  /**
   * Applies a committed entry to the state machine; indexes are consecutive.
   *
   * @param index log index
   * @param bytes the command; empty for a no-op or configuration entry
   */
  record ApplyCommitted(long index, byte[] bytes) implements ReplicationEffect {}

  /**
   * Replaces the state of the state machine; the next entry to apply has the index that follows.
   *
   * @param index last log index that the snapshot includes
   * @param bytes state as given to {@link ReplicationEvent.SnapshotTaken}
   */
  record InstallSnapshot(long index, byte[] bytes) implements ReplicationEffect {}

  /**
   * A proposal or membership change of this member was committed and applied.
   *
   * @param proposalId identifier from the proposal
   * @param index log index of the entry
   */
  record ProposalCommitted(long proposalId, long index) implements ReplicationEffect {}

  /**
   * A proposal or membership change was rejected, or its outcome is unknown.
   *
   * @param proposalId identifier from the proposal
   * @param failure the reason
   * @param leader the leader, when known
   */
  record ProposalRejected(long proposalId, ProposalFailure failure, Optional<MemberId> leader)
      implements ReplicationEffect {}

  /**
   * This member was still the leader when {@link ReplicationEvent.ConfirmLeadership} was received.
   *
   * @param requestId identifier from the request
   */
  record LeadershipConfirmed(long requestId) implements ReplicationEffect {}

  /**
   * This member is not the leader, or lost leadership before a quorum confirmed it.
   *
   * @param requestId identifier from the request
   */
  record LeadershipNotConfirmed(long requestId) implements ReplicationEffect {}

  /**
   * Role, term or known leader of this member has changed.
   *
   * @param role the role
   * @param term the term
   * @param leader the leader, when known
   */
  record RoleChanged(Role role, long term, Optional<MemberId> leader)
      implements ReplicationEffect {}
}
