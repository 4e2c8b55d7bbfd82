package io.coltsfootwheel.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class JournalDriverTest {
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
}
