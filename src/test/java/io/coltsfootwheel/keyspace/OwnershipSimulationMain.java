package io.coltsfootwheel.keyspace;

/**
 * Runs the simulation of key ownership with faults for many seeds: {@code OwnershipSimulationMain
 * FIRST_SEED SEEDS}. Exits with 1 when a key had two holders or had none after the faults.
 */
final class OwnershipSimulationMain {
  private static final int TARGETS = 8;
  private static final long FAULT_MILLIS = 60_000;
  private static final long RECOVERY_MILLIS = 12_000;

  private OwnershipSimulationMain() {}

  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    long end = first + Long.parseLong(arguments[1]);
    boolean failed = false;
    for (long seed = first; seed < end; seed++) {
      OwnershipSimulation simulation = new OwnershipSimulation(seed);
      simulation.start(TARGETS);
      simulation.runWithFaults(FAULT_MILLIS);
      simulation.runWithoutFaults(RECOVERY_MILLIS);
      int withoutHolder = KeyRange.ALL.width() - simulation.heldKeys();
      System.out.printf(
          "seed=%d violations=%d keys without holder=%d%n",
          seed, simulation.violations().size(), withoutHolder);
      failed |= !simulation.violations().isEmpty() || withoutHolder > 0;
    }
    System.exit(failed ? 1 : 0);
  }
}
