package io.coltsfootwheel.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Answers that wait for the proof that this process still leads.
 *
 * <p>One quorum round confirms all answers that were waiting when it began, so that the number of
 * rounds does not grow with the number of targets.
 */
final class Confirmations {
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private List<Consumer<Boolean>> inRound = new ArrayList<>();
  private Optional<Long> round = Optional.empty();

  /** Adds an answer; it receives true when leadership is confirmed. */
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

  void ended(long requestId, boolean confirmed) {
    if (round.filter(r -> r == requestId).isEmpty()) {
      return;
    }
    List<Consumer<Boolean>> answers = inRound;
    round = Optional.empty();
    inRound = new ArrayList<>();
    answers.forEach(a -> a.accept(confirmed));
  }

  /** Refuses everything that waits, when leadership is lost. */
  void refuseAll() {
    List<Consumer<Boolean>> answers = new ArrayList<>(inRound);
    answers.addAll(waiting);
    round = Optional.empty();
    inRound = new ArrayList<>();
    waiting = new ArrayList<>();
    answers.forEach(a -> a.accept(false));
  }
}
