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

/** Writes the replicated log on its own thread, so that a sync does not delay decisions. */
public final class JournalDriver {
  private static final Logger LOG = LogManager.getLogger(JournalDriver.class);

  private final Journal journal;
  private final Timer persistTime;
  private final Consumer<ReplicationEvent> events;
  private final LinkedBlockingQueue<ReplicationEffect> queue = new LinkedBlockingQueue<>();
  private final Thread thread = new Thread(this::run, "journal");

  /**
   * Makes a driver that is not started yet.
   *
   * @param journal the journal
   * @param persistTime records the time of each write with its sync
   * @param events receives the outcome of the writes
   */
  public JournalDriver(Journal journal, Timer persistTime, Consumer<ReplicationEvent> events) {
    this.journal = journal;
    this.persistTime = persistTime;
    this.events = events;
  }

  /** Starts the writing thread. */
  public void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a write.
   *
   * @param effect a {@link ReplicationEffect.Persist} or {@link ReplicationEffect.PersistSnapshot}
   */
  public void submit(ReplicationEffect effect) {
    queue.add(effect);
  }

  /**
   * Stops the thread and closes the journal; writes that wait are dropped.
   *
   * @throws InterruptedException when the wait for the thread is interrupted
   */
  public void close() throws InterruptedException {
    thread.interrupt();
    thread.join();
    journal.close();
  }

  private void run() {
    try {
      while (true) {
        List<ReplicationEffect> batch = new ArrayList<>();
        batch.add(queue.take());
        queue.drainTo(batch);
        write(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ColtsfootwheelException e) {
      LOG.error("journal failed, this member takes no further part: {}", e.getMessage());
      events.accept(new ReplicationEvent.PersistFailed(System.nanoTime()));
    }
  }

  private void write(List<ReplicationEffect> batch) {
    List<ReplicationEffect.Persist> appends = new ArrayList<>();
    for (ReplicationEffect effect : batch) {
      if (effect instanceof ReplicationEffect.Persist persist) {
        appends.add(persist);
      } else if (effect instanceof ReplicationEffect.PersistSnapshot snapshot) {
        flush(appends);
        journal.persistSnapshot(snapshot);
        events.accept(new ReplicationEvent.Persisted(System.nanoTime(), snapshot.sequence()));
      }
    }
    flush(appends);
  }

  private void flush(List<ReplicationEffect.Persist> appends) {
    if (appends.isEmpty()) {
      return;
    }
    persistTime.record(() -> journal.persist(appends));
    for (ReplicationEffect.Persist persist : appends) {
      events.accept(new ReplicationEvent.Persisted(System.nanoTime(), persist.sequence()));
    }
    appends.clear();
  }
}
