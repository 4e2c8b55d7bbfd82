package io.coltsfootwheel.deployment;

import java.util.concurrent.TimeUnit;

/** Steady time since the begin of a run. */
final class RunClock {
  private final long beginNanos = System.nanoTime();

  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
  }
}
