package io.coltsfootwheel.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Memory of a member whose commands are large. */
class LargeCommandsTest {
  private static final int COMMANDS = 100;

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
}
