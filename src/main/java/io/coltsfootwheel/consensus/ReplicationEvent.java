package io.coltsfootwheel.consensus;

/** Input of {@link ReplicationReducer}; times are nanoseconds of one monotonic clock. */
public sealed interface ReplicationEvent {
  /**
   * Returns the time of the event.
   *
   * @return nanoseconds of the member's monotonic clock
   */
  long nowNanos();

  /**
   * Passage of time; due every 10 ms or so.
   *
   * @param nowNanos time
   */
  record Tick(long nowNanos) implements ReplicationEvent {}

  /**
   * Message from another member.
   *
   * @param nowNanos time
   * @param from the sender, with the disk identity that it stated
   * @param message the message
   */
  record MessageReceived(long nowNanos, MemberId from, ReplicationMessage message)
      implements ReplicationEvent {}

  /**
   * Request to replicate a command; answered by {@link ReplicationEffect.ProposalCommitted} or
   * {@link ReplicationEffect.ProposalRejected}.
   *
   * @param nowNanos time
   * @param proposalId chosen by the driver, unique within a run of the process
   * @param command the command, not empty
   */
  record Propose(long nowNanos, long proposalId, byte[] command) implements ReplicationEvent {
    /** Refuses empty commands, because an empty entry means that there is nothing to apply. */
    public Propose {
      if (command.length == 0) {
        throw new IllegalArgumentException("empty command");
      }
    }
  }

  /**
   * All {@link ReplicationEffect.Persist} and {@link ReplicationEffect.PersistSnapshot} effects up
   * to a sequence number are synced.
   *
   * @param nowNanos time
   * @param sequence highest synced sequence number
   */
  record Persisted(long nowNanos, long sequence) implements ReplicationEvent {}

  /**
   * A write or sync failed; the member takes part in nothing from now on.
   *
   * @param nowNanos time
   */
  record PersistFailed(long nowNanos) implements ReplicationEvent {}

  /**
   * Question whether this member still leads; answered by {@link
   * ReplicationEffect.LeadershipConfirmed} after a quorum round that began after this event, or by
   * {@link ReplicationEffect.LeadershipNotConfirmed}.
   *
   * @param nowNanos time
   * @param requestId chosen by the driver
   */
  record ConfirmLeadership(long nowNanos, long requestId) implements ReplicationEvent {}

  /**
   * Request to change the membership; answered as {@link Propose} is.
   *
   * @param nowNanos time
   * @param proposalId chosen by the driver, from the same numbers as proposals
   * @param change what to do
   * @param member the member to add, promote or remove
   */
  record ChangeMembership(long nowNanos, long proposalId, MembershipChange change, MemberId member)
      implements ReplicationEvent {}

  /**
   * The driver has serialized the state machine.
   *
   * @param nowNanos time
   * @param index applied index of the state
   * @param bytes the state
   */
  record SnapshotTaken(long nowNanos, long index, byte[] bytes) implements ReplicationEvent {}
}
