package io.coltsfootwheel.consensus;

import static io.coltsfootwheel.consensus.DrivenMember.member;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTest {
  private static final MemberId SECOND_DISK = member(3, "disk-2");
  private static final MemberId THIRD_DISK = member(3, "disk-3");

  private final DrivenMember leader = DrivenMember.voter(3, 1).elect();

  /** Lets only n2 and one identity of n3 respond, for long enough that a repair may begin. */
  private void runWithResponsesOf(MemberId thirdMember, long thirdMatchIndex) {
    for (int i = 0; i < 14; i++) {
      leader
          .tickAfter(50)
          .acknowledge(member(2), Long.MAX_VALUE)
          .acknowledge(thirdMember, thirdMatchIndex);
    }
  }

  private GroupConfiguration configuration() {
    return leader.reducer().configuration().orElseThrow();
  }

  /** Guards against counting two lost disk identities of one instance as voters in a group of 3. */
  @Test
  void removesLostIdentityBeforePromotingNewOne() {
    runWithResponsesOf(SECOND_DISK, 0);
    assertThat(configuration())
        .isEqualTo(
            new GroupConfiguration(
                List.of(member(1), member(2)), List.of(SECOND_DISK), List.of(InstanceId.of("n3"))));
    runWithResponsesOf(THIRD_DISK, 0);
    assertThat(configuration().learners()).containsExactly(THIRD_DISK);
    runWithResponsesOf(THIRD_DISK, Long.MAX_VALUE);
    assertThat(configuration())
        .isEqualTo(GroupConfiguration.of(List.of(member(1), member(2), THIRD_DISK)));
    assertThat(leader.role()).isEqualTo(Role.LEADER_READY);
  }

  /** Guards against loss of the quorum when a promoted learner fails with a voter unresponsive. */
  @ParameterizedTest
  @CsvSource({"false, 3", "true, 4"})
  void promotesToEvenNumberOnlyWithResponsiveVoters(boolean thirdVoterResponds, int voters) {
    DrivenMember leaderOfFour = DrivenMember.voter(4, 1).elect();
    for (int i = 0; i < 28; i++) {
      leaderOfFour.tickAfter(50).acknowledge(member(2), Long.MAX_VALUE);
      if (i < 14 || thirdVoterResponds) {
        leaderOfFour.acknowledge(member(3), Long.MAX_VALUE);
      }
      leaderOfFour.acknowledge(member(4, "disk-2"), i < 18 ? 0 : Long.MAX_VALUE);
    }
    assertThat(leaderOfFour.reducer().configuration().orElseThrow().voters()).hasSize(voters);
  }

  /** Guards against a second voter of one instance, promoted by an operator. */
  @Test
  void rejectsTwoVotersOfOneInstance() {
    leader.acknowledge(member(2), Long.MAX_VALUE);
    change(MembershipChange.ADD_LEARNER);
    leader.acknowledge(member(2), Long.MAX_VALUE).acknowledge(SECOND_DISK, Long.MAX_VALUE);
    change(MembershipChange.PROMOTE);
    assertThat(configuration().voters()).containsExactly(member(1), member(2), member(3));
  }

  private void change(MembershipChange change) {
    leader.apply(new ReplicationEvent.ChangeMembership(leader.nowNanos(), 1, change, SECOND_DISK));
  }

  /** Guards against a restart that cannot read configurations that earlier versions wrote. */
  @Test
  void readsConfigurationsOfEarlierVersions() {
    record EarlierConfiguration(List<MemberId> voters, List<MemberId> learners) {}

    byte[] bytes = ControlCodec.encode(new EarlierConfiguration(List.of(member(1)), List.of()));
    assertThat(ControlCodec.decode(bytes, GroupConfiguration.class))
        .isEqualTo(GroupConfiguration.of(List.of(member(1))));
  }
}
