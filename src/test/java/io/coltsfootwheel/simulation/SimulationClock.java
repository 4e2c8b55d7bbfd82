package io.coltsfootwheel.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time and the actions that are due at it. */
public final class SimulationClock {
  /** One millisecond in nanoseconds. */
  public static final long MILLI = 1_000_000;

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

  /** Runs the next action. */
  public void step() {
    Scheduled next = queue.remove();
    nowNanos = next.atNanos;
    next.action.run();
  }
}
