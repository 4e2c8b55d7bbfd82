package io.coltsfootwheel.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Numbered heartbeat rounds, by which a quorum confirms the leadership, and the requests for a
 * confirmation that wait for a round.
 *
 * <p>A round sends an append request or a snapshot chunk to every member. Both carry the number of
 * the latest round, and the responses repeat it. A round that a quorum has acknowledged proves that
 * this member was still the leader when the round began.
 */
final class LeadershipRounds {
  private record PendingConfirmation(long requestId, long round) {}

  private final Deque<PendingConfirmation> pendingConfirmations = new ArrayDeque<>();
  private long current;
  private long confirmed;

  long current() {
    return current;
  }

  void start() {
    current++;
  }

  /** Adds a request for the next round; returns true when that round should start now. */
  boolean add(long requestId) {
    pendingConfirmations.add(new PendingConfirmation(requestId, current + 1));
    return confirmed >= current;
  }

  /** Answers the requests up to a confirmed round; returns true when the next should start now. */
  boolean confirm(long quorumRound, Outbox outbox) {
    confirmed = Math.max(confirmed, quorumRound);
    while (!pendingConfirmations.isEmpty() && pendingConfirmations.peekFirst().round <= confirmed) {
      outbox.emit(
          new ReplicationEffect.LeadershipConfirmed(pendingConfirmations.pollFirst().requestId));
    }
    return !pendingConfirmations.isEmpty()
        && confirmed >= current
        && pendingConfirmations.peekFirst().round > current;
  }

  void failPending(Outbox outbox) {
    pendingConfirmations.forEach(
        c -> outbox.emit(new ReplicationEffect.LeadershipNotConfirmed(c.requestId)));
    pendingConfirmations.clear();
  }
}
