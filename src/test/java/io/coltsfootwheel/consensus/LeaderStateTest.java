package io.coltsfootwheel.consensus;

import static io.coltsfootwheel.consensus.DrivenMember.member;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderStateTest {
  /**
   * Guards against the loss of a committed entry. An entry of an older term that a quorum holds can
   * still be replaced by a later leader, until an entry of the current term follows it.
   */
  @Test
  void commitsOlderTermsOnlyWithCurrentTerm() {
    DrivenMember leader = DrivenMember.voter(3, 2, 1, 2).elect();
    leader.acknowledge(member(2), 2);
    assertThat(leader.reducer().commitIndex()).isZero();
    leader.acknowledge(member(2), 3);
    assertThat(leader.reducer().commitIndex()).isEqualTo(3);
  }

  /** Guards against committing an entry that fewer members than a quorum hold. */
  @ParameterizedTest
  @CsvSource({"3, 1, 1", "5, 1, 0", "5, 2, 1"})
  void commitsOnlyWithQuorum(int groupSize, int acknowledgingMembers, long committed) {
    DrivenMember leader = DrivenMember.voter(groupSize, 1).elect();
    for (int n = 2; n < 2 + acknowledgingMembers; n++) {
      leader.acknowledge(member(n), 1);
    }
    assertThat(leader.reducer().commitIndex()).isEqualTo(committed);
  }

  /** Guards against an isolated leader that accepts proposals which it can never commit. */
  @ParameterizedTest
  @CsvSource({"3, 0, FOLLOWER", "3, 1, LEADER_READY", "5, 1, FOLLOWER", "5, 2, LEADER_READY"})
  void stepsDownWithoutQuorum(int groupSize, int respondingMembers, Role role) {
    DrivenMember leader = DrivenMember.voter(groupSize, 1).elect();
    for (int n = 2; n <= groupSize; n++) {
      leader.acknowledge(member(n), 1);
    }
    for (int i = 0; i < 4; i++) {
      leader.tickAfter(50);
      for (int n = 2; n < 2 + respondingMembers; n++) {
        leader.acknowledge(member(n), 1);
      }
    }
    assertThat(leader.role()).isEqualTo(role);
  }
}
