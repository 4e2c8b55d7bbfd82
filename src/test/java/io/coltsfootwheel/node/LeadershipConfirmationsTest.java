package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeadershipConfirmationsTest {
  private final LeadershipConfirmations confirmations = new LeadershipConfirmations();
  private final List<String> answers = new ArrayList<>();

  /**
   * Guards against a quorum round that confirms an answer to a call that arrived after the round
   * had begun.
   */
  @Test
  void laterCallsWaitForTheNextRound() {
    confirmations.add(ok -> answers.add("first " + ok));
    confirmations.startRound(1);
    confirmations.add(ok -> answers.add("second " + ok));
    assertThat(confirmations.isRoundDue()).isFalse();
    confirmations.completeRound(1, true);
    assertThat(answers).containsExactly("first true");
    assertThat(confirmations.isRoundDue()).isTrue();
  }

  /** Guards against calls that stay unanswered when leadership is lost. */
  @Test
  void lostLeadershipRejectsAllAnswers() {
    confirmations.add(ok -> answers.add("first " + ok));
    confirmations.startRound(1);
    confirmations.add(ok -> answers.add("second " + ok));
    confirmations.rejectAll();
    assertThat(answers).containsExactly("first false", "second false");
  }
}
