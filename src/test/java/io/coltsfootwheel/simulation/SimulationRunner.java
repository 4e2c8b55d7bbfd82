package io.coltsfootwheel.simulation;

import java.util.List;
import java.util.stream.LongStream;

/**
 * Runs a range of seeds outside the test suite. Arguments: first seed, number of seeds, events of
 * each run.
 */
final class SimulationRunner {
  private record SeedResult(long seed, ReplicationSimulation.Result result) {}

  private SimulationRunner() {}

  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    long count = Long.parseLong(arguments[1]);
    long events = Long.parseLong(arguments[2]);
    List<SeedResult> results =
        LongStream.range(first, first + count)
            .mapToObj(s -> new SeedResult(s, new ReplicationSimulation(s, events).run()))
            .toList();
    List<SeedResult> failed =
        results.stream().filter(r -> !r.result.violations().isEmpty()).toList();
    failed.forEach(r -> System.out.println("seed " + r.seed + ": " + r.result.violations()));
    System.out.printf(
        "seeds %d, failed %d, committed entries %d, lost disks %d, events to recover %d%n",
        count,
        failed.size(),
        results.stream().mapToLong(r -> r.result.committedIndex()).sum(),
        results.stream().mapToLong(r -> r.result.lostDisks()).sum(),
        results.stream().mapToLong(r -> r.result.recoveryEvents()).max().orElse(0));
  }
}
