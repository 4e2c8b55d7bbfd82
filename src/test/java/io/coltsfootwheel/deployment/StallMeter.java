package io.coltsfootwheel.deployment;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Measures how late a thread of the run wakes up, as a sign of an overloaded machine. */
final class StallMeter implements Runnable {
  private static final long TICK_MILLIS = 20;

  private final RunClock clock;
  private final AtomicLong longestMillis = new AtomicLong();

  StallMeter(RunClock clock) {
    this.clock = clock;
  }

  @Override
  public void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        long beforeMillis = clock.nowMillis();
        TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
        long stallMillis = clock.nowMillis() - beforeMillis - TICK_MILLIS;
        longestMillis.accumulateAndGet(stallMillis, Math::max);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  long longestMillis() {
    return longestMillis.get();
  }
}
