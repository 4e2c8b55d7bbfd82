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
 * Feeds the events of all threads to the reducer on the decision thread, and its effects to a
 * driver on the same thread.
 *
 * <p>Usage: {@code loop.post(event)}.
 *
 * @param <E> events
 * @param <F> effects
 */
public final class DecisionLoop<E, F> {
  private static final Logger LOG = LogManager.getLogger(DecisionLoop.class);

  private final Function<E, List<F>> reducer;
  private final LongFunction<E> tick;
  private final long tickMillis;
  private final Consumer<F> driver;
  private final Runnable onFailure;
  private final Scheduler scheduler = Schedulers.newSingle("decisions");
  private final Scheduler.Worker worker = scheduler.createWorker();
  private final Queue<Runnable> tasks = Queues.<Runnable>unboundedMultiproducer().get();
  private final AtomicInteger pending = new AtomicInteger();
  private volatile boolean closed;
  private final LongAdder handledEvents = new LongAdder();
  private final LongAdder decidingNanos = new LongAdder();

  /**
   * Makes a loop that is not started yet.
   *
   * @param reducer decides on an event and returns the effects
   * @param tick makes the event for the passage of time from monotonic nanoseconds
   * @param tickMillis time between two such events
   * @param driver executes one effect
   * @param onFailure called when a decision fails
   */
  public DecisionLoop(
      Function<E, List<F>> reducer,
      LongFunction<E> tick,
      long tickMillis,
      Consumer<F> driver,
      Runnable onFailure) {
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
   * Hands an event to the reducer; safe from any thread.
   *
   * @param event the event
   */
  public void post(E event) {
    enqueue(() -> decide(event));
  }

  /**
   * Reads state of the reducer on the decision thread.
   *
   * @param question the reading
   * @param <T> type of the answer
   * @return the answer
   */
  public <T> Mono<T> ask(Supplier<T> question) {
    return Mono.create(sink -> enqueue(() -> answer(question, sink)));
  }

  /**
   * Returns the events handled so far.
   *
   * @return the number since the start
   */
  public long handledEvents() {
    return handledEvents.sum();
  }

  /**
   * Returns the time for which the decision thread was busy.
   *
   * @return nanoseconds since the start
   */
  public long decidingNanos() {
    return decidingNanos.sum();
  }

  /**
   * Returns the events that wait.
   *
   * @return the number
   */
  public int queuedEvents() {
    return pending.get();
  }

  /** Stops the decision thread; events posted from now on are dropped. */
  public void close() {
    closed = true;
    worker.dispose();
    scheduler.dispose();
  }

  private <T> void answer(Supplier<T> question, MonoSink<T> sink) {
    try {
      sink.success(question.get());
    } catch (RuntimeException e) {
      sink.error(e);
    }
  }

  private void enqueue(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() == 0) {
      scheduleDrain();
    }
  }

  /** Answers of targets and links may still arrive while the loop closes; they are dropped. */
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
    int handled = 0;
    do {
      handled = pending.get();
      for (int i = 0; i < handled; i++) {
        Runnable task = tasks.poll();
        while (task == null) {
          Thread.onSpinWait();
          task = tasks.poll();
        }
        task.run();
      }
      long nowNanos = System.nanoTime();
      decidingNanos.add(nowNanos - startNanos);
      handledEvents.add(handled);
      startNanos = nowNanos;
    } while (pending.addAndGet(-handled) != 0);
  }

  /** A failed decision leaves the state in doubt, so the process stops instead of going on. */
  private void decide(E event) {
    try {
      for (F effect : reducer.apply(event)) {
        driver.accept(effect);
      }
    } catch (RuntimeException e) {
      LOG.fatal("decision failed on {}; the instance stops", event.getClass().getSimpleName(), e);
      onFailure.run();
    }
  }
}
