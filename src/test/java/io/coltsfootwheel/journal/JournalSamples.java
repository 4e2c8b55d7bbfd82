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

/** Effects for tests of the journal. */
final class JournalSamples {
  private JournalSamples() {}

  /** Returns the write of a promise and of entries, all of one term. */
  static ReplicationEffect.Persist entries(long term, long first, long last) {
    HardState state = new HardState(term, Optional.empty(), Optional.empty());
    return new ReplicationEffect.Persist(
        last,
        Optional.of(state),
        0,
        LongStream.rangeClosed(first, last).mapToObj(i -> entry(i, term)).toList());
  }

  static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, EntryKind.COMMAND, new byte[] {1, 2, 3});
  }

  static ReplicationSnapshot snapshot(long index) {
    GroupConfiguration configuration =
        GroupConfiguration.of(List.of(new MemberId(InstanceId.of("n1"), "d1")));
    return new ReplicationSnapshot(index, 1, configuration, new byte[] {(byte) index});
  }

  static ReplicationEffect.PersistSnapshot snapshot(long index, long retained, boolean replaces) {
    return new ReplicationEffect.PersistSnapshot(index, snapshot(index), retained, replaces);
  }
}
