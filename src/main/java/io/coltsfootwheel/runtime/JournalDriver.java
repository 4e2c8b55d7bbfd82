package io.coltsfootwheel.runtime;

import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.micrometer.core.instrument.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes to the journal on a separate thread, so that syncs do not block the decision thread.
 *
 * <p>Writes that wait for the same sync are combined.
 */
public final class JournalDriver {
  private static final Logger LOG = LogManager.getLogger(JournalDriver.class);

  /** Size of the entries that end a batch; a batch is encoded as a whole before it is written. */
  private static final long MAX_BATCH_BYTES = 1024 * 1024;

  private static final String FAILED =
      "journal write failed; this member takes no part until its journal is open again";

  private final Journal journal;
  private final Timer persistTimer;
  private final Consumer<ReplicationEvent> events;
  private final LinkedBlockingQueue<ReplicationEffect> queue = new LinkedBlockingQueue<>();
  private final Thread thread = new Thread(this::run, "journal");

  /**
   * Creates a driver without starting its thread.
   *
   * @param journal the journal
   * @param persistTimer records the duration of each write, including the sync
   * @param events receives {@link ReplicationEvent.Persisted} or {@link
   *     ReplicationEvent.PersistFailed}
   */
  public JournalDriver(Journal journal, Timer persistTimer, Consumer<ReplicationEvent> events) {
    this.journal = journal;
    this.persistTimer = persistTimer;
    this.events = events;
  }

  /** Starts the journal thread. */
  public void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a write to the journal.
   *
   * @param effect a {@link ReplicationEffect.Persist} or {@link ReplicationEffect.PersistSnapshot}
   */
  public void submit(ReplicationEffect effect) {
    queue.add(effect);
  }

  /**
   * Stops the thread and closes the journal; queued writes are dropped.
   *
   * @throws InterruptedException when the calling thread is interrupted
   */
  public void close() throws InterruptedException {
    thread.interrupt();
    thread.join();
    journal.close();
  }

  private void run() {
    try {
      while (true) {
        write(takeBatch());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ColtsfootwheelException e) {
      events.accept(new ReplicationEvent.PersistFailed(System.nanoTime()));
      LOG.error("{}: {}", FAILED, e.getMessage());
    } catch (RuntimeException | Error e) {
      // The report comes first: a log line may fail, too, for a lack of memory.
      events.accept(new ReplicationEvent.PersistFailed(System.nanoTime()));
      LOG.error(FAILED, e);
    }
  }

  /** Waits for a write, and takes those queued behind it up to the size of a batch. */
  private List<ReplicationEffect> takeBatch() throws InterruptedException {
    List<ReplicationEffect> batch = new ArrayList<>();
    ReplicationEffect next = queue.take();
    long batchBytes = 0;
    while (next != null) {
      batch.add(next);
      batchBytes += entryBytes(next);
      next = batchBytes < MAX_BATCH_BYTES ? queue.poll() : null;
    }
    return batch;
  }

  private static long entryBytes(ReplicationEffect effect) {
    return effect instanceof ReplicationEffect.Persist persist
        ? persist.entries().stream().mapToLong(e -> e.bytes().length).sum()
        : 0;
  }

  private void write(List<ReplicationEffect> batch) {
    List<ReplicationEffect.Persist> pendingWrites = new ArrayList<>();
    for (ReplicationEffect effect : batch) {
      if (effect instanceof ReplicationEffect.Persist persist) {
        pendingWrites.add(persist);
      } else if (effect instanceof ReplicationEffect.PersistSnapshot snapshot) {
        flush(pendingWrites);
        journal.persistSnapshot(snapshot);
        events.accept(new ReplicationEvent.Persisted(System.nanoTime(), snapshot.sequence()));
      }
    }
    flush(pendingWrites);
  }

  private void flush(List<ReplicationEffect.Persist> pendingWrites) {
    if (pendingWrites.isEmpty()) {
      return;
    }
    persistTimer.record(() -> journal.persist(pendingWrites));
    for (ReplicationEffect.Persist persist : pendingWrites) {
      events.accept(new ReplicationEvent.Persisted(System.nanoTime(), persist.sequence()));
    }
    pendingWrites.clear();
  }
}
