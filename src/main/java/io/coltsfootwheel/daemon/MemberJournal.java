package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.runtime.JournalDriver;
import io.micrometer.core.instrument.Timer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.util.retry.Retry;

/**
 * Journal of a control member, which is opened again after a failed write: a full disk is a
 * temporary fault, and all votes and entries that were synced before it are still on disk.
 *
 * <p>Usage: {@code MemberReducer member = journal.open(); journal.start();}.
 */
final class MemberJournal {
  private static final Logger LOG = LogManager.getLogger(MemberJournal.class);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);

  private final Path folder;
  private final Function<Path, Journal> opener;
  private final Function<Journal, MemberReducer> memberFactory;
  private final Timer persistTimer;
  private final Consumer<InstanceEvent> events;
  private Optional<JournalDriver> driver = Optional.empty();
  private Disposable reopening = Disposables.disposed();
  private boolean closed;

  /**
   * Creates a journal without opening it.
   *
   * @param folder the data folder
   * @param opener opens the journal in a folder, or throws a {@link ColtsfootwheelException}
   * @param memberFactory creates the member that continues from the content of a journal
   * @param persistTimer records the duration of each write
   * @param events receives the results of writes and the member of a journal that is open again
   */
  MemberJournal(
      Path folder,
      Function<Path, Journal> opener,
      Function<Journal, MemberReducer> memberFactory,
      Timer persistTimer,
      Consumer<InstanceEvent> events) {
    this.folder = folder;
    this.opener = opener;
    this.memberFactory = memberFactory;
    this.persistTimer = persistTimer;
    this.events = events;
  }

  /**
   * Opens the journal; writes wait until {@link #start}.
   *
   * @return the member that continues from its content
   * @throws ColtsfootwheelException when the journal cannot be opened
   */
  synchronized MemberReducer open() {
    Journal journal = opener.apply(folder);
    MemberReducer member = memberFactory.apply(journal);
    driver =
        Optional.of(
            new JournalDriver(
                journal, persistTimer, e -> events.accept(new InstanceEvent.Replication(e))));
    return member;
  }

  /** Starts to write. */
  synchronized void start() {
    driver.ifPresent(JournalDriver::start);
  }

  /**
   * Queues a write; it is dropped while the journal is not open.
   *
   * @param effect a write of the replicated log
   */
  synchronized void submit(ReplicationEffect effect) {
    driver.ifPresent(d -> d.submit(effect));
  }

  /** Closes the failed journal, and opens it again as soon as that succeeds. */
  synchronized void reopen() {
    try {
      closeDriver();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    reopening =
        Mono.fromRunnable(this::openAgain)
            .retryWhen(
                Retry.fixedDelay(Long.MAX_VALUE, RETRY_INTERVAL)
                    .filter(ColtsfootwheelException.class::isInstance)
                    .doBeforeRetry(
                        retry -> LOG.warn("journal not opened: {}", retry.failure().getMessage())))
            .delaySubscription(RETRY_INTERVAL)
            .subscribeOn(Schedulers.boundedElastic())
            .subscribe(opened -> {}, e -> LOG.error("journal stays closed", e));
  }

  private synchronized void openAgain() {
    if (!closed) {
      MemberReducer member = open();
      start();
      LOG.info("journal {} is open again", folder);
      events.accept(new InstanceEvent.MemberReopened(System.nanoTime(), member));
    }
  }

  /**
   * Closes the journal; it is not opened again.
   *
   * @throws InterruptedException when the calling thread is interrupted
   */
  synchronized void close() throws InterruptedException {
    closed = true;
    reopening.dispose();
    closeDriver();
  }

  private void closeDriver() throws InterruptedException {
    if (driver.isPresent()) {
      JournalDriver open = driver.get();
      driver = Optional.empty();
      open.close();
    }
  }
}
