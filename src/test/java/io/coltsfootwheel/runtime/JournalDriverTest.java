package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.EntryKind;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class JournalDriverTest {
  private static final int WRITES = 40;

  private enum WriteFailure {
    FULL_DISK(() -> ColtsfootwheelException.of(ErrorKind.JOURNAL_FAILED, "for the test")),
    UNEXPECTED_EXCEPTION(() -> new IllegalStateException("for the test")),
    ERROR(StackOverflowError::new);

    private final Supplier<Throwable> cause;

    WriteFailure(Supplier<Throwable> cause) {
      this.cause = cause;
    }

    private void raise() {
      Throwable raised = cause.get();
      if (raised instanceof Error error) {
        throw error;
      }
      throw (RuntimeException) raised;
    }
  }

  /** Journal whose writes fail. */
  private record FailingJournal(WriteFailure failure) implements Journal {
    @Override
    public String diskId() {
      return "disk";
    }

    @Override
    public DurableState recovered() {
      return DurableState.empty();
    }

    @Override
    public void persist(List<ReplicationEffect.Persist> effects) {
      failure.raise();
    }

    @Override
    public void persistSnapshot(ReplicationEffect.PersistSnapshot effect) {
      failure.raise();
    }

    @Override
    public void close() {}
  }

  /**
   * Guards against a leader that leads on and confirms no change, because the thread of its journal
   * has ended and nobody was told.
   */
  @ParameterizedTest
  @EnumSource
  void eachFailureOfAWriteIsReported(WriteFailure failure) throws InterruptedException {
    BlockingQueue<ReplicationEvent> events = new LinkedBlockingQueue<>();
    JournalDriver driver =
        new JournalDriver(
            new FailingJournal(failure), new SimpleMeterRegistry().timer("persist"), events::add);
    driver.start();
    driver.submit(new ReplicationEffect.Persist(1, Optional.empty(), 0, List.of()));
    assertThat(events.poll(10, TimeUnit.SECONDS))
        .isInstanceOf(ReplicationEvent.PersistFailed.class);
    driver.close();
  }

  /** Journal that records the size of each write; the first write waits until it is released. */
  private record SlowJournal(CountDownLatch released, Queue<Long> writeBytes) implements Journal {
    @Override
    public String diskId() {
      return "disk";
    }

    @Override
    public DurableState recovered() {
      return DurableState.empty();
    }

    @Override
    public void persist(List<ReplicationEffect.Persist> effects) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      writeBytes.add(
          effects.stream()
              .flatMap(e -> e.entries().stream())
              .mapToLong(e -> e.bytes().length)
              .sum());
    }

    @Override
    public void persistSnapshot(ReplicationEffect.PersistSnapshot effect) {}

    @Override
    public void close() {}
  }

  /** Guards against one record of all that waited for a slow disk, which takes too much memory. */
  @ParameterizedTest
  @CsvSource({"100, 1048576", "112000, 1120000", "3000000, 3000000"})
  void writesThatWaitedAreDividedByTheirSize(int entryBytes, long largestWriteBytes)
      throws InterruptedException {
    SlowJournal journal = new SlowJournal(new CountDownLatch(1), new ConcurrentLinkedQueue<>());
    BlockingQueue<ReplicationEvent> events = new LinkedBlockingQueue<>();
    JournalDriver driver =
        new JournalDriver(journal, new SimpleMeterRegistry().timer("persist"), events::add);
    driver.start();
    for (int i = 1; i <= WRITES; i++) {
      LogEntry entry = new LogEntry(i, 1, EntryKind.COMMAND, new byte[entryBytes]);
      driver.submit(new ReplicationEffect.Persist(i, Optional.empty(), 0, List.of(entry)));
    }
    journal.released().countDown();
    for (int i = 1; i <= WRITES; i++) {
      assertThat(events.poll(10, TimeUnit.SECONDS))
          .isInstanceOfSatisfying(ReplicationEvent.Persisted.class, persisted(i));
    }
    driver.close();
    assertThat(journal.writeBytes()).allMatch(bytes -> bytes <= largestWriteBytes);
  }

  private static Consumer<ReplicationEvent.Persisted> persisted(long sequence) {
    return event -> assertThat(event.sequence()).isEqualTo(sequence);
  }
}
