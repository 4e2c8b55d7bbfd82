package io.coltsfootwheel.deployment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Collects what the threads of a run did and saw. */
final class Recorder {
  private final Queue<Change> changes = new ConcurrentLinkedQueue<>();
  private final Queue<Probe> probes = new ConcurrentLinkedQueue<>();
  private final Queue<ConfigurationRead> reads = new ConcurrentLinkedQueue<>();

  void add(Change change) {
    changes.add(change);
  }

  void add(Probe probe) {
    probes.add(probe);
  }

  void add(ConfigurationRead read) {
    reads.add(read);
  }

  /** Returns all that was recorded, with what the machines recorded of themselves. */
  History history(Collection<Machine> machines) {
    List<Outage> outages = new ArrayList<>();
    List<ProcessStart> starts = new ArrayList<>();
    machines.forEach(
        machine -> {
          outages.addAll(machine.outages());
          starts.addAll(machine.starts());
        });
    int coreSize = (int) machines.stream().filter(Machine::isCore).count();
    return new History(
        List.copyOf(changes), List.copyOf(probes), List.copyOf(reads), outages, starts, coreSize);
  }
}
