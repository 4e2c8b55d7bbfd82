package io.coltsfootwheel.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Answers that wait until a quorum confirms that this process still leads.
 *
 * <p>One quorum round confirms all answers that were waiting when it began, so the number of rounds
 * does not grow with the number of targets.
 */
final class LeadershipConfirmations {
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private List<Consumer<Boolean>> inRound = new ArrayList<>();
  private Optional<Long> round = Optional.empty();

  /** Adds an answer; it receives true when the next round confirms leadership, else false. */
  void add(Consumer<Boolean> answer) {
    waiting.add(answer);
  }

  boolean isRoundDue() {
    return round.isEmpty() && !waiting.isEmpty();
  }

  void startRound(long requestId) {
    round = Optional.of(requestId);
    inRound = waiting;
    waiting = new ArrayList<>();
  }

  void completeRound(long requestId, boolean confirmed) {
    if (round.filter(r -> r == requestId).isEmpty()) {
      return;
    }
    List<Consumer<Boolean>> answers = inRound;
    round = Optional.empty();
    inRound = new ArrayList<>();
    answers.forEach(a -> a.accept(confirmed));
  }

  /** Completes all waiting answers with false; called when leadership is lost. */
  void rejectAll() {
    List<Consumer<Boolean>> answers = new ArrayList<>(inRound);
    answers.addAll(waiting);
    round = Optional.empty();
    inRound = new ArrayList<>();
    waiting = new ArrayList<>();
    answers.forEach(a -> a.accept(false));
  }
}
