package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Simulated operators who submit concurrent changes based on the same revision, and resend a change
 * when its answer was lost.
 */
final class Operators {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private record Change(String id, long base, double rate) {}

  private final SimulatedSystem system;
  private final List<Change> answeredChanges = new ArrayList<>();
  private int count;

  Operators(SimulatedSystem system) {
    this.system = system;
  }

  /**
   * Submits one to three changes based on the lists of one instance, and repeats an answered one.
   */
  void submitConcurrentChanges() {
    Optional<SimulatedInstance> source = system.anyRunning();
    if (source.isEmpty()) {
      return;
    }
    long base = source.get().state().lists().revision();
    int operators = 1 + system.random().nextInt(3);
    for (int i = 0; i < operators; i++) {
      count++;
      submit(new Change("change-" + count, base, 1_000 + count), 0);
    }
    if (!answeredChanges.isEmpty()) {
      submit(answeredChanges.get(system.random().nextInt(answeredChanges.size())), 0);
    }
  }

  private void submit(Change change, int resends) {
    Optional<SimulatedInstance> instance = system.anyRunning();
    if (instance.isEmpty()) {
      return;
    }
    PlanName plan = PlanName.of("p");
    Command command =
        new Command.ApplyLists(
            change.id(),
            change.base(),
            Map.of(CustomerId.of("c"), plan),
            Map.of(
                plan,
                new Allowance(change.rate(), 1_000, 500, Set.of(SimulatedSystem.SERVICE.name()))));
    instance.get().propose(command, result -> answer(change, resends, result));
  }

  private void answer(Change change, int resends, Optional<CommandResult> result) {
    boolean lost = system.isFaulty() && system.random().nextDouble() < 0.2;
    if (result.isPresent() && !lost) {
      system.checker().changeAnswered(change.id(), change.base(), change.rate(), result.get());
      answeredChanges.add(change);
    } else if (resends < 5) {
      system.after(200 * MILLI, () -> submit(change, resends + 1));
    }
  }
}
