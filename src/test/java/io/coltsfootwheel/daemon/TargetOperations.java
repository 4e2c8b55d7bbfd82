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

/**
 * Announces, drains, removes and restarts targets, and declares targets gone as an operator does.
 */
final class TargetOperations {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private final SimulatedSystem system;
  private final Set<String> draining = new HashSet<>();

  TargetOperations(SimulatedSystem system) {
    this.system = system;
    system.targets().forEach(t -> announce(t, t.incarnation()));
  }

  /**
   * Announces a target until its process ends: again after 100 ms when the announcement failed, and
   * after 1 s when it was accepted or not needed.
   */
  private void announce(SimulatedTarget target, int incarnation) {
    if (target.incarnation() != incarnation) {
      return;
    }
    Optional<SimulatedInstance> instance = system.anyRunning();
    if (!target.isUp() || instance.isEmpty()) {
      scheduleAnnouncement(target, incarnation, false);
      return;
    }
    TargetSpec spec = target.spec();
    Optional<TargetEntry> registered = instance.get().state().target(spec.id());
    boolean unchanged =
        registered
            .filter(entry -> entry.spec().equals(spec) && entry.status().mayOwnSlots())
            .isPresent();
    if (unchanged) {
      scheduleAnnouncement(target, incarnation, true);
    } else {
      instance
          .get()
          .propose(
              new Command.AnnounceTarget(spec),
              result ->
                  scheduleAnnouncement(
                      target,
                      incarnation,
                      result.filter(r -> r instanceof CommandResult.Accepted).isPresent()));
    }
  }

  private void scheduleAnnouncement(SimulatedTarget target, int incarnation, boolean accepted) {
    system.after((accepted ? 1_000 : 100) * MILLI, () -> announce(target, incarnation));
  }

  /**
   * Ends a process and starts the next one up to 500 ms later. With a probability of 0.25 the ended
   * one is declared gone.
   */
  void restart(SimulatedTarget target) {
    if (target.isDown()) {
      return;
    }
    target.stop();
    draining.remove(target.name());
    if (system.random().nextInt(4) == 0) {
      system.anyRunning().ifPresent(i -> declareGone(i, target));
    }
    int incarnation = target.incarnation();
    system.after(system.random().nextLong(500 * MILLI), () -> startNext(target, incarnation));
  }

  private void startNext(SimulatedTarget target, int incarnation) {
    if (target.isDown() && target.incarnation() == incarnation) {
      target.start();
      announce(target, incarnation);
    }
  }

  private void declareGone(SimulatedInstance instance, SimulatedTarget target) {
    if (instance.state().target(target.spec().id()).isPresent()) {
      instance.propose(
          TargetChanges.statusChange(
              instance.state(), target.spec().id(), TargetStatus.GONE, "the process has ended"),
          result -> {});
    }
  }

  void drain(SimulatedTarget target) {
    Optional<SimulatedInstance> instance = system.anyRunning();
    if (target.isUp()
        && instance.isPresent()
        && instance.get().state().target(target.spec().id()).isPresent()) {
      system.checker().event(target.name() + " drains");
      draining.add(target.name());
      int incarnation = target.incarnation();
      instance
          .get()
          .propose(
              TargetChanges.statusChange(
                  instance.get().state(), target.spec().id(), TargetStatus.DRAINING, "drain"),
              result -> {});
      system.after(2_000 * MILLI, () -> remove(target, incarnation));
    }
  }

  private void remove(SimulatedTarget target, int incarnation) {
    Optional<SimulatedInstance> instance = system.anyRunning();
    if (target.incarnation() == incarnation && !target.isDown() && instance.isPresent()) {
      instance
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

  /**
   * Ends the faults of targets, and restarts those that are drained or do not check fences: only a
   * new incarnation of these returns to full service.
   */
  void endFaults() {
    for (SimulatedTarget target : system.targets()) {
      target.degrade(0, 0);
      target.thaw();
      if (!target.checksFences() || draining.contains(target.name())) {
        restart(target);
      }
    }
  }
}
