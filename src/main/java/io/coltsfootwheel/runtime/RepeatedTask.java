package io.coltsfootwheel.runtime;

import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Task that runs again an interval after its last run has ended, also when that run has failed. A
 * task that an executor repeats by itself would never run again after an exception or error, and
 * would make up for a pause of the process by many runs at once.
 */
public final class RepeatedTask implements AutoCloseable {
  private final ScheduledExecutorService executor;
  private final Runnable task;
  private final long intervalMillis;
  private final Consumer<Throwable> onFailure;
  private Optional<ScheduledFuture<?>> next = Optional.empty();
  private boolean closed;

  /**
   * Creates a task without starting it.
   *
   * @param executor runs the task
   * @param task the task
   * @param intervalMillis time between the end of a run and the next one, in milliseconds
   * @param onFailure receives what a run has thrown
   */
  public RepeatedTask(
      ScheduledExecutorService executor,
      Runnable task,
      long intervalMillis,
      Consumer<Throwable> onFailure) {
    this.executor = executor;
    this.task = task;
    this.intervalMillis = intervalMillis;
    this.onFailure = onFailure;
  }

  /** Starts the first run at once. */
  public void start() {
    schedule(0);
  }

  /** Ends the repetition; a run in progress is completed. */
  @Override
  public synchronized void close() {
    closed = true;
    next.ifPresent(n -> n.cancel(false));
  }

  private void run() {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      onFailure.accept(e);
    } finally {
      schedule(intervalMillis);
    }
  }

  private synchronized void schedule(long delayMillis) {
    if (closed) {
      return;
    }
    try {
      next = Optional.of(executor.schedule(this::run, delayMillis, TimeUnit.MILLISECONDS));
    } catch (RejectedExecutionException e) {
      closed = true;
    }
  }
}
