package io.coltsfootwheel.consensus;

/** Input of {@link ReplicationReducer}; all times come from one monotonic clock. */
public sealed interface ReplicationEvent {
  /**
   * Returns the time of the event on the monotonic clock of the member.
   *
   * @return the time in nanoseconds
   */
  long nowNanos();

  /**
   * Passage of time; expected about every 10 ms.
   *
   * @param nowNanos time of the event
   */
  record Tick(long nowNanos) implements ReplicationEvent {}

  /**
   * Message from another member.
   *
   * @param nowNanos time of the event
   * @param from the sender, with the disk identity that it stated
   * @param message the message
   */
  record MessageReceived(long nowNanos, MemberId from, ReplicationMessage message)
      implements ReplicationEvent {}

  /**
   * Request to replicate a command. The result is {@link ReplicationEffect.ProposalCommitted} or
   * {@link ReplicationEffect.ProposalRejected}.
   *
   * @param nowNanos time of the event
   * @param proposalId identifier chosen by the driver, unique within a run of the process
   * @param command the command, not empty
   */
  record Propose(long nowNanos, long proposalId, byte[] command) implements ReplicationEvent {
    /** Rejects empty commands, because empty bytes in a committed entry mean no command. */
    public Propose {
      if (command.length == 0) {
        throw new IllegalArgumentException("the command of a proposal must not be empty");
      }
    }
  }

  /**
   * All {@link ReplicationEffect.Persist} and {@link ReplicationEffect.PersistSnapshot} effects up
   * to a sequence number are synced.
   *
   * @param nowNanos time of the event
   * @param sequence highest synced sequence number
   */
  record Persisted(long nowNanos, long sequence) implements ReplicationEvent {}

  /**
   * A write or sync failed. The member no longer votes, replicates or accepts requests.
   *
   * @param nowNanos time of the event
   */
  record PersistFailed(long nowNanos) implements ReplicationEvent {}

  /**
   * Request to confirm that this member is still the leader. The result is {@link
   * ReplicationEffect.LeadershipConfirmed}, once a quorum has acknowledged a heartbeat round that
   * began after this event, or {@link ReplicationEffect.LeadershipNotConfirmed}.
   *
   * @param nowNanos time of the event
   * @param requestId identifier chosen by the driver
   */
  record ConfirmLeadership(long nowNanos, long requestId) implements ReplicationEvent {}

  /**
   * Request to change the membership. The results are those of {@link Propose}.
   *
   * @param nowNanos time of the event
   * @param proposalId identifier chosen by the driver, unique together with those of proposals
   * @param change kind of the change
   * @param member the member to add, promote or remove
   */
  record ChangeMembership(long nowNanos, long proposalId, MembershipChange change, MemberId member)
      implements ReplicationEvent {}

  /**
   * The driver has taken a snapshot of the state machine.
   *
   * @param nowNanos time of the event
   * @param index last log index applied to the state
   * @param bytes the serialized state
   */
  record SnapshotTaken(long nowNanos, long index, byte[] bytes) implements ReplicationEvent {}
}
