package io.coltsfootwheel.consensus;

import java.util.List;
import java.util.Optional;

/** Output of {@link ReplicationReducer}, to be executed in order. */
public sealed interface ReplicationEffect {
  /**
   * Sends a message; losing it is harmless.
   *
   * @param to the receiver; the disk identity is empty when it is not known. The message goes to
   *     the instance, whatever its disk identity is, and carries the sender's own identity.
   * @param message the message
   */
  record Send(MemberId to, ReplicationMessage message) implements ReplicationEffect {}

  /**
   * Writes and syncs promises and entries, then reports {@link ReplicationEvent.Persisted}. Several
   * effects may share one sync if they are written in order.
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
   * @param replacesLog true when all entries must be dropped, because the log does not lead to the
   *     snapshot
   */
  record PersistSnapshot(
      long sequence, ReplicationSnapshot snapshot, long firstRetainedIndex, boolean replacesLog)
      implements ReplicationEffect {}

  /**
   * Applies a committed entry; indexes follow each other without gaps.
   *
   * @param index log index
   * @param bytes the command; empty for an entry without command
   */
  record ApplyCommitted(long index, byte[] bytes) implements ReplicationEffect {}

  /**
   * Replaces the state machine; the next entry to apply has the following index.
   *
   * @param index last log index included
   * @param bytes state as given to {@link ReplicationEvent.SnapshotTaken}
   */
  record InstallSnapshot(long index, byte[] bytes) implements ReplicationEffect {}

  /**
   * A proposal or membership change of this member was committed and applied.
   *
   * @param proposalId number of the proposal
   * @param index log index of the entry
   */
  record ProposalCommitted(long proposalId, long index) implements ReplicationEffect {}

  /**
   * A proposal or membership change was not accepted, or its outcome is unknown.
   *
   * @param proposalId number of the proposal
   * @param failure the reason
   * @param leader the leader, when known
   */
  record ProposalRejected(long proposalId, ProposalFailure failure, Optional<MemberId> leader)
      implements ReplicationEffect {}

  /**
   * This member still led when the question was asked.
   *
   * @param requestId number of the question
   */
  record LeadershipConfirmed(long requestId) implements ReplicationEffect {}

  /**
   * This member does not lead, or lost its leadership while it waited for a quorum.
   *
   * @param requestId number of the question
   */
  record LeadershipNotConfirmed(long requestId) implements ReplicationEffect {}

  /**
   * Role, term or known leader have changed.
   *
   * @param role the role
   * @param term the term
   * @param leader the leader, when known
   */
  record RoleChanged(Role role, long term, Optional<MemberId> leader)
      implements ReplicationEffect {}
}
