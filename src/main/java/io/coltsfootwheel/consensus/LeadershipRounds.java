package io.coltsfootwheel.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/** Numbered quorum rounds and the questions that wait for one. */
final class LeadershipRounds {
  private record Question(long requestId, long round) {}

  private final Deque<Question> questions = new ArrayDeque<>();
  private long current;
  private long confirmed;

  long current() {
    return current;
  }

  void start() {
    current++;
  }

  /** Registers a question for the next round; returns true when that round should start now. */
  boolean ask(long requestId) {
    questions.add(new Question(requestId, current + 1));
    return confirmed >= current;
  }

  /** Answers what a quorum has confirmed; returns true when a next round is needed now. */
  boolean settle(long quorumRound, Outbox outbox) {
    confirmed = Math.max(confirmed, quorumRound);
    while (!questions.isEmpty() && questions.peekFirst().round <= confirmed) {
      outbox.emit(new ReplicationEffect.LeadershipConfirmed(questions.pollFirst().requestId));
    }
    return !questions.isEmpty() && confirmed >= current && questions.peekFirst().round > current;
  }

  void stop(Outbox outbox) {
    questions.forEach(q -> outbox.emit(new ReplicationEffect.LeadershipNotConfirmed(q.requestId)));
    questions.clear();
  }
}
