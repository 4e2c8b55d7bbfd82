package io.coltsfootwheel.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock with a queue of scheduled actions. */
public final class SimulationClock {
  /** Nanoseconds in a millisecond. */
  public static final long NANOS_PER_MILLI = 1_000_000;

  private record Scheduled(long atNanos, long order, Runnable action) {}

  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atNanos).thenComparingLong(Scheduled::order));
  private long nowNanos;
  private long nextOrder;

  public long now() {
    return nowNanos;
  }

  public void after(long delayNanos, Runnable action) {
    queue.add(new Scheduled(nowNanos + delayNanos, nextOrder++, action));
  }

  /** Advances the clock to the next scheduled action and runs it. */
  public void step() {
    Scheduled next = queue.remove();
    nowNanos = next.atNanos;
    next.action.run();
  }
}
