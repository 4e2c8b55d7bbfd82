package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MemberChangesTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Guards against a removal after which the group could commit no further change. */
  @ParameterizedTest
  @CsvSource({
    "abc, '',  a, ''",
    "abc, b,   b, ''",
    "abc, b,   a, restart or remove these first",
    "abc, '',  d, is not a member",
    "a,   '',  a, is the last voter",
    "ab,  b,   b, ''",
    "abcde, de, d, ''",
    "abcde, de, a, restart or remove these first",
  })
  void refusesRemovalsThatLoseTheQuorum(
      String voters, String unresponsive, String removed, String detail) {
    List<MemberProgress> group =
        voters.chars().mapToObj(c -> member((char) c, true, unresponsive.indexOf(c) < 0)).toList();
    Optional<CommandResult> refusal = MemberChanges.refusal(InstanceId.of(removed.strip()), group);
    assertThat(refusal.isPresent()).isEqualTo(!detail.isEmpty());
    refusal.ifPresent(r -> assertThat(((CommandResult.Rejected) r).detail()).contains(detail));
  }

  /**
   * Guards against a configured control member that never joins a running group because its data
   * folder is empty.
   */
  @Test
  void joiningControlMemberBecomesLearnerThenVoter() {
    MemberChanges changes = new MemberChanges(List.of(InstanceId.of("a"), InstanceId.of("b")));
    List<MemberProgress> group = new ArrayList<>(List.of(member('a', true, true)));
    changes.recordJoinRequest(0, id('b'));
    changes.recordJoinRequest(0, id('x'));
    assertThat(changes.nextStep(0, group))
        .contains(new MemberChanges.Step(MembershipChange.ADD_LEARNER, id('b')));
    group.add(member('b', false, true));
    assertThat(changes.nextStep(1, group)).isEmpty();
    assertThat(changes.nextStep(SECOND, group))
        .contains(new MemberChanges.Step(MembershipChange.PROMOTE, id('b')));
    group.set(1, member('b', true, true));
    assertThat(changes.nextStep(2 * SECOND, group)).isEmpty();
  }

  /** Guards against a removed and stopped member that an old request to join adds again. */
  @Test
  void requestToJoinExpires() {
    MemberChanges changes = new MemberChanges(List.of(InstanceId.of("b")));
    changes.recordJoinRequest(0, id('b'));
    assertThat(changes.nextStep(2 * SECOND, List.of(member('a', true, true)))).isEmpty();
  }

  /** Guards against effects whose order differs from process to process. */
  @Test
  void joinRequestsAreSentInTheOrderOfTheSettings() {
    List<InstanceId> members =
        "gcaebfdh".chars().mapToObj(c -> InstanceId.of(String.valueOf((char) c))).toList();
    List<InstanceEffect> effects = new MemberChanges(members).joinRequestsIfDue(0, id('x'));
    assertThat(effects)
        .extracting(effect -> ((InstanceEffect.SendMessage) effect).to())
        .isEqualTo(members);
  }

  private static MemberId id(char name) {
    return new MemberId(InstanceId.of(String.valueOf(name)), "disk-" + name);
  }

  private static MemberProgress member(char name, boolean voter, boolean heard) {
    return new MemberProgress(id(name), voter, 1, heard);
  }
}
