package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.model.TargetStatus;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.List;
import java.util.Optional;

/**
 * Random run of the whole system from one seed: periods with faults, each followed by a period
 * without faults, after which the system must have recovered.
 */
final class RandomRun {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long RECOVERY_NANOS = 9_000 * MILLI;
  private static final long MEASUREMENT_NANOS = 1_000 * MILLI;

  /** Time in which the answers to requests sent during the measurement may still arrive. */
  private static final long ANSWER_GRACE_NANOS = 1_800 * MILLI;

  /** Below 1, since handovers for load continue without faults, and old stamps are then refused. */
  private static final double MIN_ANSWERED_SHARE = 0.9;

  /** Outcome of a run. */
  record Result(
      long seed,
      long events,
      int executions,
      int listChanges,
      Optional<String> violation,
      List<String> trace,
      long digest) {}

  private final long seed;
  private final long maxEvents;
  private final SimulatedSystem system;
  private final Callers callers;
  private final Operators operators;
  private final Faults faults;
  private long acknowledgedRevision;
  private boolean finished;

  RandomRun(long seed, long maxEvents) {
    this.seed = seed;
    this.maxEvents = maxEvents;
    this.system = new SimulatedSystem(seed);
    this.callers = new Callers(system);
    this.operators = new Operators(system);
    this.faults = new Faults(system, new TargetOperations(system));
  }

  Result run() {
    sendPeriodically();
    changeListsPeriodically();
    system.after(3_000 * MILLI, this::beginFaults);
    RunChecker checker = system.checker();
    while (!finished && checker.violation().isEmpty()) {
      system.clock().step();
    }
    return new Result(
        seed,
        system.events(),
        checker.executions(),
        checker.listChanges(),
        checker.violation(),
        checker.trace(),
        checker.digest());
  }

  private void sendPeriodically() {
    callers.sendNext();
    system.after(1 + system.random().nextLong(40 * MILLI), this::sendPeriodically);
  }

  private void changeListsPeriodically() {
    operators.submitConcurrentChanges();
    system.after(1 + system.random().nextLong(1_500 * MILLI), this::changeListsPeriodically);
  }

  private void beginFaults() {
    faults.begin();
    system.after(system.random().nextLong(5_000 * MILLI, 20_000 * MILLI), this::endFaults);
  }

  private void endFaults() {
    faults.end();
    system.after(RECOVERY_NANOS, this::beginMeasurement);
  }

  private void beginMeasurement() {
    callers.resetCounts();
    acknowledgedRevision = system.checker().acknowledgedRevision();
    system.after(MEASUREMENT_NANOS, this::endMeasurement);
  }

  private void endMeasurement() {
    int sent = callers.newRequests();
    system.after(ANSWER_GRACE_NANOS, () -> checkRecovery(sent));
  }

  private void checkRecovery(int sent) {
    RunChecker checker = system.checker();
    checker.event("recovery: " + callers.newRequestsAnswered() + " of " + sent + " answered");
    if (callers.newRequestsAnswered() < MIN_ANSWERED_SHARE * sent) {
      checker.recordViolation(
          "only " + callers.newRequestsAnswered() + " of " + sent + " requests answered");
    }
    for (SimulatedInstance instance : system.instances()) {
      if (!instance.isReady()) {
        checker.recordViolation(instance.id() + " has no lease after the faults ended");
      }
      if (instance.state().lists().revision() < acknowledgedRevision) {
        checker.recordViolation(instance.id() + " lacks an acknowledged change of the lists");
      }
      checkOwners(instance);
    }
    finished = system.events() >= maxEvents;
    if (!finished) {
      beginFaults();
    }
  }

  private void checkOwners(SimulatedInstance instance) {
    ControlState state = instance.state();
    for (int slot = 0; slot < SimulatedSystem.SERVICE.hashSlots(); slot++) {
      boolean owned =
          state
              .ownership(SimulatedSystem.SERVICE.name(), slot)
              .map(SlotOwnership::owner)
              .flatMap(state::target)
              .filter(t -> t.status() == TargetStatus.ACTIVE && t.grant().isPresent())
              .isPresent();
      if (!owned) {
        system
            .checker()
            .recordViolation("slot " + slot + " has no active owner on " + instance.id());
      }
    }
  }
}
