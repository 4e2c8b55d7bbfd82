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

/** Operators who race with equal revisions and resend changes after lost answers. */
final class Operators {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private record Change(String id, long base, double rate) {}

  private final World world;
  private final List<Change> answered = new ArrayList<>();
  private int count;

  Operators(World world) {
    this.world = world;
  }

  /** One to three operators change the lists that they all read from one instance. */
  void race() {
    Optional<SimulatedInstance> read = world.anyRunning();
    if (read.isEmpty()) {
      return;
    }
    long base = read.get().state().lists().revision();
    int operators = 1 + world.random().nextInt(3);
    for (int i = 0; i < operators; i++) {
      count++;
      submit(new Change("change-" + count, base, 1_000 + count), 0);
    }
    if (!answered.isEmpty()) {
      submit(answered.get(world.random().nextInt(answered.size())), 0);
    }
  }

  private void submit(Change change, int resends) {
    Optional<SimulatedInstance> through = world.anyRunning();
    if (through.isEmpty()) {
      return;
    }
    PlanName plan = PlanName.of("p");
    Command command =
        new Command.ApplyLists(
            change.id(),
            change.base(),
            Map.of(CustomerId.of("c"), plan),
            Map.of(plan, new Allowance(change.rate(), 1_000, 500, Set.of(World.SERVICE.name()))));
    through.get().propose(command, result -> answer(change, resends, result));
  }

  private void answer(Change change, int resends, Optional<CommandResult> result) {
    boolean lost = world.isFaulty() && world.random().nextDouble() < 0.2;
    if (result.isPresent() && !lost) {
      world.checker().changed(change.id(), change.base(), change.rate(), result.get());
      answered.add(change);
    } else if (resends < 5) {
      world.after(200 * MILLI, () -> submit(change, resends + 1));
    }
  }
}
