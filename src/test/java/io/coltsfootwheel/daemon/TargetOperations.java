package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Announcements, drains and restarts of targets, and the operator who declares one gone. */
final class TargetOperations {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private final World world;
  private final Set<String> draining = new HashSet<>();

  TargetOperations(World world) {
    this.world = world;
    world.targets().forEach(t -> announce(t, t.incarnation()));
  }

  /** Announces until the process ends: soon again after a failure, otherwise in a while. */
  private void announce(SimulatedTarget target, int incarnation) {
    if (target.incarnation() != incarnation) {
      return;
    }
    Optional<SimulatedInstance> through = world.anyRunning();
    if (!target.isUp() || through.isEmpty()) {
      announceAgain(target, incarnation, false);
      return;
    }
    TargetSpec spec = target.spec();
    Optional<TargetEntry> present = through.get().state().target(spec.id());
    boolean unchanged =
        present.filter(e -> e.spec().equals(spec) && e.status().mayOwnSlots()).isPresent();
    if (unchanged) {
      announceAgain(target, incarnation, true);
    } else {
      through
          .get()
          .propose(
              new Command.AnnounceTarget(spec),
              result ->
                  announceAgain(
                      target,
                      incarnation,
                      result.filter(r -> r instanceof CommandResult.Accepted).isPresent()));
    }
  }

  private void announceAgain(SimulatedTarget target, int incarnation, boolean accepted) {
    world.after((accepted ? 1_000 : 100) * MILLI, () -> announce(target, incarnation));
  }

  /** Ends a process and starts the next one; meanwhile an operator may declare it gone. */
  void restart(SimulatedTarget target) {
    if (target.isDown()) {
      return;
    }
    target.stop();
    draining.remove(target.name());
    if (world.random().nextInt(4) == 0) {
      world.anyRunning().ifPresent(i -> declareGone(i, target));
    }
    int incarnation = target.incarnation();
    world.after(world.random().nextLong(500 * MILLI), () -> startAgain(target, incarnation));
  }

  private void startAgain(SimulatedTarget target, int incarnation) {
    if (target.isDown() && target.incarnation() == incarnation) {
      target.start();
      announce(target, incarnation);
    }
  }

  private void declareGone(SimulatedInstance through, SimulatedTarget target) {
    if (through.state().target(target.spec().id()).isPresent()) {
      through.propose(
          TargetChanges.statusChange(
              through.state(), target.spec().id(), TargetStatus.GONE, "the process has ended"),
          result -> {});
    }
  }

  void drain(SimulatedTarget target) {
    Optional<SimulatedInstance> through = world.anyRunning();
    if (target.isUp()
        && through.isPresent()
        && through.get().state().target(target.spec().id()).isPresent()) {
      world.checker().event(target.name() + " drains");
      draining.add(target.name());
      int incarnation = target.incarnation();
      through
          .get()
          .propose(
              TargetChanges.statusChange(
                  through.get().state(), target.spec().id(), TargetStatus.DRAINING, "drain"),
              result -> {});
      world.after(2_000 * MILLI, () -> remove(target, incarnation));
    }
  }

  private void remove(SimulatedTarget target, int incarnation) {
    Optional<SimulatedInstance> through = world.anyRunning();
    if (target.incarnation() == incarnation && !target.isDown() && through.isPresent()) {
      through
          .get()
          .propose(
              new Command.RemoveTarget(target.spec().id()),
              result -> {
                if (result.filter(r -> r instanceof CommandResult.Accepted).isPresent()
                    && target.incarnation() == incarnation) {
                  restart(target);
                }
              });
    }
  }

  /** Restarts those that only a new incarnation brings back into full service. */
  void endFaults() {
    for (SimulatedTarget target : world.targets()) {
      target.burden(0, 0);
      target.thaw();
      if (!target.checksFences() || draining.contains(target.name())) {
        restart(target);
      }
    }
  }
}
