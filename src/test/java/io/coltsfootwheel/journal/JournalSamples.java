package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.EntryKind;
import io.coltsfootwheel.consensus.GroupConfiguration;
import io.coltsfootwheel.consensus.HardState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationSnapshot;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/** Sample effects, entries and snapshots for tests of the journal. */
final class JournalSamples {
  private JournalSamples() {}

  /** Returns an effect that writes a hard state and a range of entries, all of one term. */
  static ReplicationEffect.Persist entries(long term, long firstIndex, long lastIndex) {
    HardState hardState = new HardState(term, Optional.empty(), Optional.empty());
    return new ReplicationEffect.Persist(
        lastIndex,
        Optional.of(hardState),
        0,
        LongStream.rangeClosed(firstIndex, lastIndex).mapToObj(i -> entry(i, term)).toList());
  }

  static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryKind.COMMAND, new byte[] {1, 2, 3});
  }

  static ReplicationSnapshot snapshot(long index) {
    GroupConfiguration configuration =
        GroupConfiguration.of(List.of(new MemberId(InstanceId.of("n1"), "d1")));
    return new ReplicationSnapshot(index, 1, configuration, new byte[] {(byte) index});
  }

  static ReplicationEffect.PersistSnapshot snapshot(
      long index, long firstRetainedIndex, boolean replacesLog) {
    return new ReplicationEffect.PersistSnapshot(
        index, snapshot(index), firstRetainedIndex, replacesLog);
  }
}
