package io.coltsfootwheel.consensus;

import static io.coltsfootwheel.consensus.DrivenMember.member;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Memory of a member whose commands are large. */
class LargeCommandsTest {
  private static final int COMMANDS = 100;

  /** Four messages, each of the size that delays no heartbeat. */
  private static final long MAX_BYTES_IN_FLIGHT = 4 * 256 * 1024;

  /** Guards against retained entries, bounded by their number only, that use up the memory. */
  @ParameterizedTest
  @CsvSource({"100, 100", "20972, 99", "112000, 18", "1048576, 2", "2097152, 1", "2097153, 0"})
  void snapshotKeepsEntriesWithinTheirBytes(int commandBytes, long expectedEntries) {
    DrivenMember member = DrivenMember.voter(1, 1).elect();
    for (int i = 0; i < COMMANDS; i++) {
      member.propose(new byte[commandBytes]);
    }
    long lastIndex = member.reducer().commitIndex();
    member.apply(new ReplicationEvent.SnapshotTaken(member.nowNanos(), lastIndex, new byte[] {1}));
    List<ReplicationEffect.PersistSnapshot> snapshots =
        member.effects(ReplicationEffect.PersistSnapshot.class).toList();
    assertThat(snapshots).hasSize(1);
    long entries = lastIndex - snapshots.get(0).firstRetainedIndex() + 1;
    assertThat(Math.min(COMMANDS, entries)).isEqualTo(expectedEntries);
  }

  /** Guards against a leader that sends its whole log at once to a member that was away. */
  @ParameterizedTest
  @CsvSource({"1000, 100", "112000, 10", "300000, 4", "2000000, 1"})
  void memberThatWasAwayIsSentEntriesWithinTheirBytes(int commandBytes, int expectedEntries) {
    DrivenMember leader = DrivenMember.voter(3, 1).elect();
    leader.acknowledge(member(2), 1);
    long firstIndex = leader.reducer().commitIndex() + 1;
    for (int i = 0; i < COMMANDS; i++) {
      leader.propose(new byte[commandBytes]);
      leader.acknowledge(member(2), firstIndex + i);
    }
    leader.acknowledge(member(3), firstIndex - 1);
    List<LogEntry> sentEntries =
        leader
            .sendEffects()
            .filter(s -> s.to().equals(member(3)))
            .map(ReplicationEffect.Send::message)
            .filter(ReplicationMessage.AppendRequest.class::isInstance)
            .flatMap(m -> ((ReplicationMessage.AppendRequest) m).entries().stream())
            .filter(e -> e.index() >= firstIndex)
            .toList();
    assertThat(sentEntries).hasSize(expectedEntries);
    long allButLastBytes =
        sentEntries.stream().limit(sentEntries.size() - 1).mapToLong(e -> e.bytes().length).sum();
    assertThat(allButLastBytes).isLessThan(MAX_BYTES_IN_FLIGHT);
  }

  /** Guards against a leader without quorum that takes large commands until its memory is used. */
  @ParameterizedTest
  @CsvSource({"1000, 100", "112000, 75", "1048576, 8", "9437184, 1"})
  void uncommittedCommandsAreBoundedByTheirBytes(int commandBytes, long expectedAccepted) {
    DrivenMember leader = DrivenMember.voter(3, 1).elect();
    leader.acknowledge(member(2), 1);
    for (int i = 0; i < COMMANDS; i++) {
      leader.propose(new byte[commandBytes]);
    }
    long rejected = leader.effects(ReplicationEffect.ProposalRejected.class).count();
    assertThat(COMMANDS - rejected).isEqualTo(expectedAccepted);
  }
}
