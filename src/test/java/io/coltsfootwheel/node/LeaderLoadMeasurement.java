package io.coltsfootwheel.node;

import java.util.Locale;

/**
 * Prints what the leader's work costs at a given size, before, during and after a hot range.
 *
 * <p>Usage: {@code LeaderLoadMeasurement TARGETS ENTRIES REQUESTS_PER_SECOND}.
 */
public final class LeaderLoadMeasurement {
  private static final long SEED = 1;
  private static final long START_MILLIS = 5_000;
  private static final long PHASE_MILLIS = 4_000;
  private static final int HOT_KEYS = 200;
  private static final double HOT_SHARE = 0.4;

  private LeaderLoadMeasurement() {}

  /**
   * Runs the measurement.
   *
   * @param args number of targets, number of entries, keyed requests per second of all entries
   */
  public static void main(String[] args) {
    LeaderLoadSimulation simulation =
        new LeaderLoadSimulation(
            SEED, Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]));
    simulation.run(START_MILLIS);
    printPhase("even load", simulation);
    simulation.setHotKeys(HOT_KEYS, HOT_SHARE);
    printPhase("hot keys", simulation);
    printPhase("hot keys, later", simulation);
  }

  private static void printPhase(String name, LeaderLoadSimulation simulation) {
    simulation.resetMeasurements();
    simulation.run(PHASE_MILLIS);
    System.out.println(name + ", ranges " + simulation.ranges());
    simulation
        .costs()
        .forEach(
            (work, cost) ->
                System.out.printf(
                    Locale.ROOT,
                    "  %s %.3f s elapsed, %.1f MB allocated a second%n",
                    work,
                    cost.elapsedNanos() / 1e6 / PHASE_MILLIS,
                    cost.allocatedBytes() / 1e3 / PHASE_MILLIS));
    simulation
        .counts()
        .forEach(
            (what, count) ->
                System.out.printf(Locale.ROOT, "  %s %.1f/s%n", what, count * 1e3 / PHASE_MILLIS));
  }
}
