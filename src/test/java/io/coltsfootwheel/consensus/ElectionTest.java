package io.coltsfootwheel.consensus;

import static io.coltsfootwheel.consensus.DrivenMember.member;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ElectionTest {
  private static final long MIN_ELECTION_TIMEOUT_MILLIS = 150;

  /** Guards against electing a leader that lacks committed entries: voters must compare logs. */
  @ParameterizedTest
  @CsvSource({"1, 4, true", "3, 3, true", "4, 3, true", "2, 3, false", "9, 2, false"})
  void grantsVotesOnlyToUpToDateLogs(long lastIndex, long lastTerm, boolean granted) {
    DrivenMember voter = DrivenMember.voter(3, 3, 1, 3, 3).tickAfter(10);
    voter.receive(member(2), new ReplicationMessage.PreVoteRequest(5, lastIndex, lastTerm));
    voter.receive(member(2), new ReplicationMessage.VoteRequest(5, lastIndex, lastTerm));
    assertThat(voter.sent(ReplicationMessage.PreVoteResponse.class))
        .extracting(ReplicationMessage.PreVoteResponse::granted)
        .containsExactly(granted);
    assertThat(voter.sent(ReplicationMessage.VoteResponse.class))
        .extracting(ReplicationMessage.VoteResponse::granted)
        .containsExactly(granted);
  }

  /** Guards against two leaders in one term: a member must not change its vote within a term. */
  @Test
  void votesOncePerTerm() {
    DrivenMember voter = DrivenMember.voter(3, 1);
    voter.receive(member(2), new ReplicationMessage.VoteRequest(2, 0, 0));
    voter.receive(member(3), new ReplicationMessage.VoteRequest(2, 0, 0));
    voter.receive(member(2), new ReplicationMessage.VoteRequest(2, 0, 0));
    assertThat(voter.sent(ReplicationMessage.VoteResponse.class))
        .extracting(ReplicationMessage.VoteResponse::granted)
        .containsExactly(true, false, true);
  }

  /** Guards against an isolated member that raises its term and deposes the leader on return. */
  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void isolatedMemberKeepsItsTerm(int groupSize) {
    DrivenMember isolated = DrivenMember.voter(groupSize, 1);
    for (int i = 0; i < 10; i++) {
      isolated.tickAfter(300);
    }
    assertThat(isolated.term()).isEqualTo(1);
    assertThat(isolated.sent(ReplicationMessage.VoteRequest.class)).isEmpty();
    assertThat(isolated.sent(ReplicationMessage.PreVoteRequest.class)).isNotEmpty();
  }

  /**
   * Guards against waiting for a leader after all members were killed, when none can exist: a
   * restarted member must ask for pre-votes before the minimum election timeout has passed.
   */
  @Test
  void restartedMemberAsksForPreVotesEarly() {
    DrivenMember restarted = DrivenMember.voter(5, 3, 1, 3).tickAfter(MIN_ELECTION_TIMEOUT_MILLIS);
    assertThat(restarted.sent(ReplicationMessage.PreVoteRequest.class)).isNotEmpty();
    assertThat(restarted.term()).isEqualTo(3);
  }

  /** Guards against an election while most members still have contact with a leader. */
  @Test
  void refusesPreVotesDuringLeaderContact() {
    DrivenMember voter = DrivenMember.voter(3, 1);
    voter.receive(member(2), new ReplicationMessage.AppendRequest(1, 1, 0, 0, List.of(), 0));
    voter.tickAfter(100).receive(member(3), new ReplicationMessage.PreVoteRequest(2, 9, 1));
    assertThat(voter.sent(ReplicationMessage.PreVoteResponse.class))
        .extracting(ReplicationMessage.PreVoteResponse::granted)
        .containsExactly(false);
  }

  /** Guards against a second vote in a term, after the first was lost with the disk. */
  @Test
  void doesNotVoteAfterDiskReplacement() {
    DrivenMember replaced = new DrivenMember(member(3, "disk-2"), DurableState.empty());
    GroupConfiguration configuration =
        GroupConfiguration.of(List.of(member(1), member(2), member(3)));
    replaced.receive(member(2), new ReplicationMessage.Bootstrap(configuration));
    replaced.receive(member(2), new ReplicationMessage.PreVoteRequest(5, 9, 4));
    replaced.receive(member(2), new ReplicationMessage.VoteRequest(5, 9, 4));
    replaced.tickAfter(300).tickAfter(300);
    assertThat(replaced.sendEffects()).isEmpty();
    assertThat(replaced.reducer().configuration()).isEmpty();
  }

  /**
   * Guards against counting the vote of a disk identity that is not a voter, such as a new disk.
   */
  @ParameterizedTest
  @CsvSource({"disk-1, LEADER_STARTING", "disk-2, CANDIDATE"})
  void countsVotesOfConfiguredIdentitiesOnly(String diskId, Role role) {
    DrivenMember candidate = DrivenMember.voter(3, 1).tickAfter(300);
    candidate.receive(member(2), new ReplicationMessage.PreVoteResponse(2, true, 1));
    candidate.receive(member(2, diskId), new ReplicationMessage.VoteResponse(2, true));
    assertThat(candidate.role()).isEqualTo(role);
  }

  /** Guards against starting an election on the pre-vote of a disk identity that is not a voter. */
  @ParameterizedTest
  @CsvSource({"disk-1, 2", "disk-2, 1"})
  void countsPreVotesOfConfiguredIdentitiesOnly(String diskId, long term) {
    DrivenMember candidate = DrivenMember.voter(3, 1).tickAfter(300);
    candidate.receive(member(2, diskId), new ReplicationMessage.PreVoteResponse(2, true, 1));
    assertThat(candidate.term()).isEqualTo(term);
  }
}
