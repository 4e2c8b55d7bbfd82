package io.coltsfootwheel.deployment;

import java.util.Random;

/** Random number and size of the changes with many routes that an operator sends in a run. */
final class LargeChanges {
  private static final int MIN_ROUTES = 100;
  private static final int MAX_ROUTES = 350;
  private static final int MAX_BURST = 8;

  private final Random random;
  private final int routeCount;
  private int remaining;

  /**
   * Decides on number and size.
   *
   * @param maxCount largest number of changes; at least about half as many are sent
   * @param random decides
   */
  LargeChanges(int maxCount, Random random) {
    this.random = random;
    this.remaining = maxCount - random.nextInt(maxCount / 2 + 1);
    this.routeCount = MIN_ROUTES + random.nextInt(MAX_ROUTES - MIN_ROUTES + 1);
  }

  /** Returns the number of routes of each large change. */
  int routeCount() {
    return routeCount;
  }

  /** Takes the changes that are sent next, one after the other, and returns their number. */
  int takeBurst() {
    return take(1 + random.nextInt(MAX_BURST));
  }

  /** Takes all changes that are left and returns their number. */
  int takeAll() {
    return take(remaining);
  }

  private int take(int wanted) {
    int taken = Math.min(wanted, remaining);
    remaining -= taken;
    return taken;
  }

  @Override
  public String toString() {
    return "%d large changes with %d more routes".formatted(remaining, routeCount);
  }
}
