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

  /** Lets n2 and one identity of n3 answer, and all others be silent, until repairs may begin. */
  private void runWith(MemberId third, long thirdMatches) {
    for (int i = 0; i < 14; i++) {
      leader.tickAfter(50).acknowledge(member(2), Long.MAX_VALUE).acknowledge(third, thirdMatches);
    }
  }

  private Configuration configuration() {
    return leader.reducer().configuration().orElseThrow();
  }

  /** Guards against a group of 3 that counts two lost identities of one instance as voters. */
  @Test
  void removesTheLostIdentityBeforeItPromotesTheNewOne() {
    runWith(SECOND_DISK, 0);
    assertThat(configuration())
        .isEqualTo(
            new Configuration(
                List.of(member(1), member(2)), List.of(SECOND_DISK), List.of(InstanceId.of("n3"))));
    runWith(THIRD_DISK, 0);
    assertThat(configuration().learners()).containsExactly(THIRD_DISK);
    runWith(THIRD_DISK, Long.MAX_VALUE);
    assertThat(configuration())
        .isEqualTo(Configuration.of(List.of(member(1), member(2), THIRD_DISK)));
    assertThat(leader.role()).isEqualTo(Role.LEADER_READY);
  }

  /** Guards against a stall when a promoted learner is lost together with a silent voter. */
  @ParameterizedTest
  @CsvSource({"false, 3", "true, 4"})
  void promotesToAnEvenNumberOnlyWhileTheVotersAnswer(boolean thirdAnswers, int voters) {
    DrivenMember four = DrivenMember.voter(4, 1).elect();
    for (int i = 0; i < 28; i++) {
      four.tickAfter(50).acknowledge(member(2), Long.MAX_VALUE);
      if (i < 14 || thirdAnswers) {
        four.acknowledge(member(3), Long.MAX_VALUE);
      }
      four.acknowledge(member(4, "disk-2"), i < 18 ? 0 : Long.MAX_VALUE);
    }
    assertThat(four.reducer().configuration().orElseThrow().voters()).hasSize(voters);
  }

  /** Guards against the promotion of a second identity of an instance by an operator. */
  @Test
  void refusesTwoVotersOfOneInstance() {
    leader.acknowledge(member(2), Long.MAX_VALUE);
    change(MembershipChange.ADD_LEARNER);
    leader.acknowledge(member(2), Long.MAX_VALUE).acknowledge(SECOND_DISK, Long.MAX_VALUE);
    change(MembershipChange.PROMOTE);
    assertThat(configuration().voters()).containsExactly(member(1), member(2), member(3));
  }

  private void change(MembershipChange change) {
    leader.apply(new ReplicationEvent.ChangeMembership(leader.nowNanos(), 1, change, SECOND_DISK));
  }

  /** Guards against a restart that cannot read configurations written before vacancies existed. */
  @Test
  void readsConfigurationsWithoutVacancies() {
    record Earlier(List<MemberId> voters, List<MemberId> learners) {}

    byte[] bytes = ControlCodec.encode(new Earlier(List.of(member(1)), List.of()));
    assertThat(ControlCodec.decode(bytes, Configuration.class))
        .isEqualTo(Configuration.of(List.of(member(1))));
  }
}
