package io.coltsfootwheel.consensus;

import static io.coltsfootwheel.consensus.DrivenMember.member;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a leader sends to a member that answers late or not at all. */
class RepeatedSendsTest {
  private static final int COMMAND_BYTES = 112_000;

  private static long bytesOf(ReplicationMessage message) {
    if (message instanceof ReplicationMessage.SnapshotChunk chunk) {
      return chunk.bytes().length;
    }
    return message instanceof ReplicationMessage.AppendRequest request
        ? request.entries().stream().mapToLong(e -> e.bytes().length).sum()
        : 0;
  }

  private static Stream<ReplicationMessage> sentTo(DrivenMember leader, MemberId to) {
    return leader.sendEffects().filter(s -> s.to().equals(to)).map(ReplicationEffect.Send::message);
  }

  private static long bytesSentTo(DrivenMember leader, MemberId to) {
    return sentTo(leader, to).mapToLong(RepeatedSendsTest::bytesOf).sum();
  }

  /** Completes confirmation rounds with member 2 only, within less than an election timeout. */
  private static void confirmRounds(DrivenMember leader, int rounds) {
    long index = leader.reducer().commitIndex();
    for (int i = 0; i < rounds; i++) {
      leader.apply(new ReplicationEvent.ConfirmLeadership(leader.nowNanos(), 1_000 + i));
      leader.acknowledge(member(2), index);
    }
  }

  /** Guards against a leader that sends a chunk of a snapshot again with each round. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100})
  void silentMemberIsSentASnapshotChunkOnce(int rounds) {
    DrivenMember leader = DrivenMember.voter(3, 1).elect();
    leader.acknowledge(member(2), 1);
    for (int i = 0; i < 40; i++) {
      leader.propose(new byte[COMMAND_BYTES]);
      leader.acknowledge(member(2), leader.reducer().commitIndex() + 1);
    }
    long before = bytesSentTo(leader, member(3));
    long snapshotIndex = leader.reducer().commitIndex();
    leader.apply(
        new ReplicationEvent.SnapshotTaken(
            leader.nowNanos(), snapshotIndex, new byte[COMMAND_BYTES]));
    confirmRounds(leader, rounds);
    assertThat(sentTo(leader, member(3)))
        .anyMatch(ReplicationMessage.SnapshotChunk.class::isInstance);
    assertThat(bytesSentTo(leader, member(3)) - before).isEqualTo(COMMAND_BYTES);
  }

  /** Guards against a leader that sends its entries again for each of many late rejections. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100})
  void lateRejectionsAreAnsweredOnce(int rounds) {
    DrivenMember leader = DrivenMember.voter(3, 1).elect();
    leader.acknowledge(member(2), 1);
    leader.acknowledge(member(3), 1);
    leader.propose(new byte[COMMAND_BYTES]);
    leader.acknowledge(member(2), 2);
    confirmRounds(leader, rounds);
    long before = bytesSentTo(leader, member(3));
    long lastRound =
        leader
            .sent(ReplicationMessage.AppendRequest.class)
            .mapToLong(ReplicationMessage.AppendRequest::round)
            .max()
            .orElseThrow();
    for (long round = lastRound - rounds + 1; round <= lastRound; round++) {
      leader.receive(
          member(3), new ReplicationMessage.AppendResponse(leader.term(), round, false, 1, 2));
    }
    assertThat(bytesSentTo(leader, member(3)) - before).isEqualTo(COMMAND_BYTES);
  }
}
