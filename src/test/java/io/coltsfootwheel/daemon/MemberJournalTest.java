package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MemberJournalTest {
  private static final InstanceId SELF = InstanceId.of("m1");

  @TempDir private Path folder;
  private final BlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final AtomicInteger failingOpens = new AtomicInteger();

  private Journal openUnlessFailing(Path path) {
    if (failingOpens.getAndDecrement() > 0) {
      throw ColtsfootwheelException.of(ErrorKind.JOURNAL_FAILED, "No space left on device");
    }
    return Journal.open(path);
  }

  private static MemberReducer member(Journal journal) {
    MemberId id = new MemberId(SELF, journal.diskId());
    return new MemberReducer(
        id,
        new ReplicationReducer(
            ReplicationSettings.of(id, List.of(SELF), true, 1), journal.recovered(), 0),
        new Supervisor(),
        List.of(),
        List.of(SELF),
        MemberReducer.COMMANDS_BETWEEN_SNAPSHOTS);
  }

  /** Guards against a journal that stays closed, or locked, after a disk had no room for a time. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void journalIsOpenedAgainWhenThatSucceeds(int failures) throws InterruptedException {
    MemberJournal journal =
        new MemberJournal(
            folder,
            this::openUnlessFailing,
            MemberJournalTest::member,
            new SimpleMeterRegistry().timer("t"),
            events::add);
    journal.open();
    journal.start();
    failingOpens.set(failures);
    journal.reopen();
    assertThat(events.poll(10, TimeUnit.SECONDS)).isInstanceOf(InstanceEvent.MemberReopened.class);
    journal.close();
    Journal.open(folder).close();
  }
}
