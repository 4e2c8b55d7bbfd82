package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Induces random faults, several at once. */
final class FaultSchedule implements AutoCloseable {
  private static final int MAX_AT_ONCE = 4;
  private static final int MIN_PAUSE_MILLIS = 300;
  private static final int MAX_PAUSE_MILLIS = 3_000;
  private static final int END_TIMEOUT_SECONDS = 60;

  private final Deployment deployment;
  private final List<Fault> faults;
  private final Random random;
  private final Semaphore groupLock = new Semaphore(1);
  private final AtomicInteger killedAfterGrace = new AtomicInteger();
  private final ExecutorService executor = Executors.newFixedThreadPool(MAX_AT_ONCE);

  FaultSchedule(Deployment deployment, List<Fault> faults, Random random) {
    this.deployment = deployment;
    this.faults = faults;
    this.random = random;
  }

  /** Induces faults for a time, and waits until the last machine runs again. */
  void run(long millis) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() - endNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(
          MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
      if (!faults.isEmpty()) {
        Fault fault = faults.get(random.nextInt(faults.size()));
        FaultContext context = context();
        executor.execute(() -> induce(fault, context));
      }
    }
    executor.shutdown();
    if (!executor.awaitTermination(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("faults did not end");
    }
  }

  /** Induces a fault of the end of a run. */
  void induceFinalFault(FinalFault fault) throws InterruptedException {
    fault.induce(context());
  }

  private FaultContext context() {
    return new FaultContext(deployment, new Random(random.nextLong()), groupLock, killedAfterGrace);
  }

  private static void induce(Fault fault, FaultContext context) {
    try {
      fault.induce(context);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns how many processes were killed because their stop took longer than allowed. */
  int killedAfterGrace() {
    return killedAfterGrace.get();
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
