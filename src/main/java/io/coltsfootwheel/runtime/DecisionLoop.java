package io.coltsfootwheel.runtime;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.util.concurrent.Queues;

/**
 * Passes events from any thread to a reducer, and the resulting effects to a driver. Both run on
 * one thread, the decision thread.
 *
 * <p>Usage: {@code loop.post(event)}.
 *
 * @param <E> type of the events
 * @param <F> type of the effects
 */
public final class DecisionLoop<E, F> {
  private static final Logger LOG = LogManager.getLogger(DecisionLoop.class);

  private final Function<E, List<F>> reducer;
  private final LongFunction<E> tick;
  private final long tickMillis;
  private final Consumer<F> driver;
  private final DecisionFailureHandler onFailure;
  private final Scheduler scheduler = Schedulers.newSingle("decisions");
  private final Scheduler.Worker worker = scheduler.createWorker();
  private final Queue<Runnable> tasks = Queues.<Runnable>unboundedMultiproducer().get();
  private final AtomicInteger pending = new AtomicInteger();
  private volatile boolean closed;

  /** Whether processing an event has failed; used on the decision thread only. */
  private boolean failed;

  private final LongAdder processedEvents = new LongAdder();
  private final LongAdder busyNanos = new LongAdder();

  /**
   * Creates a loop without starting it.
   *
   * @param reducer processes an event and returns the effects
   * @param tick creates the tick event from the monotonic time in nanoseconds
   * @param tickMillis time between two tick events
   * @param driver executes one effect
   * @param onFailure called when the reducer or the driver throws an exception or error; no event
   *     is processed after that
   */
  public DecisionLoop(
      Function<E, List<F>> reducer,
      LongFunction<E> tick,
      long tickMillis,
      Consumer<F> driver,
      DecisionFailureHandler onFailure) {
    this.reducer = reducer;
    this.tick = tick;
    this.tickMillis = tickMillis;
    this.driver = driver;
    this.onFailure = onFailure;
  }

  /** Starts the periodic ticks. */
  public void start() {
    worker.schedulePeriodically(
        () -> post(tick.apply(System.nanoTime())), tickMillis, tickMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Queues an event for the reducer; may be called from any thread.
   *
   * @param event the event
   */
  public void post(E event) {
    enqueue(() -> process(event));
  }

  /**
   * Evaluates a query on the decision thread, so that it may read the state of the reducer.
   *
   * @param query the query
   * @param <T> type of the result
   * @return the result
   */
  public <T> Mono<T> query(Supplier<T> query) {
    return Mono.create(sink -> enqueue(() -> evaluate(query, sink)));
  }

  /**
   * Returns the number of events and queries processed so far.
   *
   * @return the number since the creation of the loop
   */
  public long processedEvents() {
    return processedEvents.sum();
  }

  /**
   * Returns the time that the decision thread has spent on processing.
   *
   * @return nanoseconds since the creation of the loop
   */
  public long busyNanos() {
    return busyNanos.sum();
  }

  /**
   * Returns the number of events and queries not yet processed.
   *
   * @return the length of the queue
   */
  public int queuedEvents() {
    return pending.get();
  }

  /** Stops the decision thread; events posted afterwards are dropped. */
  public void close() {
    closed = true;
    worker.dispose();
    scheduler.dispose();
  }

  private <T> void evaluate(Supplier<T> query, MonoSink<T> sink) {
    try {
      sink.success(query.get());
    } catch (RuntimeException | Error e) {
      sink.error(e);
    }
  }

  private void enqueue(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() == 0) {
      scheduleDrain();
    }
  }

  /**
   * Schedules the processing of the queue. Responses of targets and frames of links may still
   * arrive while the loop closes; the worker rejects them and they are dropped.
   */
  private void scheduleDrain() {
    try {
      worker.schedule(this::drain);
    } catch (RejectedExecutionException e) {
      if (!closed) {
        throw e;
      }
    }
  }

  private void drain() {
    long startNanos = System.nanoTime();
    int batchSize = 0;
    do {
      batchSize = pending.get();
      for (int i = 0; i < batchSize; i++) {
        Runnable task = tasks.poll();
        while (task == null) {
          // The task is counted, but hidden while another thread completes an earlier insertion.
          Thread.onSpinWait();
          task = tasks.poll();
        }
        task.run();
      }
      long nowNanos = System.nanoTime();
      busyNanos.add(nowNanos - startNanos);
      processedEvents.add(batchSize);
      startNanos = nowNanos;
    } while (pending.addAndGet(-batchSize) != 0);
  }

  /**
   * Processes an event. An exception or error may leave the state of the reducer inconsistent and
   * effects without execution, so the process stops, and nothing more is decided until then: a
   * later effect could confirm what an earlier one has not written. Errors are caught too: one that
   * escaped would leave {@link #pending} above 0, and the queue would never be processed again.
   */
  private void process(E event) {
    if (failed) {
      return;
    }
    try {
      for (F effect : reducer.apply(event)) {
        driver.accept(effect);
      }
    } catch (RuntimeException | Error e) {
      failed = true;
      reportFailure(event, e);
    }
  }

  /** Reports a failure also when it cannot be logged, as for a lack of memory. */
  private void reportFailure(E event, Throwable failure) {
    try {
      LOG.fatal(
          "reducer or driver failed on event {}; stopping the instance",
          event.getClass().getSimpleName(),
          failure);
    } finally {
      onFailure.failed(event.getClass(), failure);
    }
  }
}
