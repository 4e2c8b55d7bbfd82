package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfirmationsTest {
  private final Confirmations confirmations = new Confirmations();
  private final List<String> answers = new ArrayList<>();

  /** Guards against an answer that is confirmed by a round which began before its call. */
  @Test
  void laterCallsWaitForTheNextRound() {
    confirmations.add(ok -> answers.add("first " + ok));
    confirmations.startRound(1);
    confirmations.add(ok -> answers.add("second " + ok));
    assertThat(confirmations.isRoundDue()).isFalse();
    confirmations.ended(1, true);
    assertThat(answers).containsExactly("first true");
    assertThat(confirmations.isRoundDue()).isTrue();
  }

  /** Guards against calls that are never answered when leadership is lost. */
  @Test
  void everythingIsRefusedAtTheEnd() {
    confirmations.add(ok -> answers.add("first " + ok));
    confirmations.startRound(1);
    confirmations.add(ok -> answers.add("second " + ok));
    confirmations.refuseAll();
    assertThat(answers).containsExactly("first false", "second false");
  }
}
