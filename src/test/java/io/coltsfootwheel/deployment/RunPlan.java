package io.coltsfootwheel.deployment;

import java.util.List;

/**
 * What a run does.
 *
 * @param seed seed of all random decisions
 * @param faults faults to induce
 * @param maxLargeChanges largest number of changes with many routes; 0 for none
 * @param finalFaults faults of which one is induced at the end of a run with faults
 */
record RunPlan(long seed, List<Fault> faults, int maxLargeChanges, List<FinalFault> finalFaults) {
  /** Returns a plan without large changes, at whose end all processes are killed. */
  static RunPlan of(long seed, List<Fault> faults) {
    return new RunPlan(seed, faults, 0, List.of(FinalFault.KILL));
  }
}
