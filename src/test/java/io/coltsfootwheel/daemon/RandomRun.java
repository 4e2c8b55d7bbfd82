package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.model.TargetStatus;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.List;
import java.util.Optional;

/**
 * Randomised run of the whole system from one seed: periods of faults, each followed by a quiet
 * period at whose end the system must have recovered.
 */
final class RandomRun {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long RECOVERY_NANOS = 9_000 * MILLI;
  private static final long PROOF_NANOS = 1_000 * MILLI;

  /** Answers still on their way when the proof ends. */
  private static final long GRACE_NANOS = 1_800 * MILLI;

  /** Handovers for load continue while nothing fails, and old stamps are then refused. */
  private static final double ANSWERED_SHARE = 0.9;

  /** What a run has shown. */
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
  private final World world;
  private final Callers callers;
  private final Operators operators;
  private final Faults faults;
  private long acknowledgedRevision;
  private boolean finished;

  RandomRun(long seed, long maxEvents) {
    this.seed = seed;
    this.maxEvents = maxEvents;
    this.world = new World(seed);
    this.callers = new Callers(world);
    this.operators = new Operators(world);
    this.faults = new Faults(world, new TargetOperations(world));
  }

  Result run() {
    sendPeriodically();
    changePeriodically();
    world.after(3_000 * MILLI, this::beginFaults);
    RunChecker checker = world.checker();
    while (!finished && checker.violation().isEmpty()) {
      world.clock().step();
    }
    return new Result(
        seed,
        world.events(),
        checker.executions(),
        checker.listChanges(),
        checker.violation(),
        checker.trace(),
        checker.digest());
  }

  private void sendPeriodically() {
    callers.sendNext();
    world.after(1 + world.random().nextLong(40 * MILLI), this::sendPeriodically);
  }

  private void changePeriodically() {
    operators.race();
    world.after(1 + world.random().nextLong(1_500 * MILLI), this::changePeriodically);
  }

  private void beginFaults() {
    faults.begin();
    world.after(world.random().nextLong(5_000 * MILLI, 20_000 * MILLI), this::endFaults);
  }

  private void endFaults() {
    faults.end();
    world.after(RECOVERY_NANOS, this::beginProof);
  }

  private void beginProof() {
    callers.resetCounts();
    acknowledgedRevision = world.checker().acknowledgedRevision();
    world.after(PROOF_NANOS, this::endProof);
  }

  private void endProof() {
    int sent = callers.fresh();
    world.after(GRACE_NANOS, () -> checkRecovery(sent));
  }

  private void checkRecovery(int sent) {
    RunChecker checker = world.checker();
    checker.event("recovery: " + callers.freshAnswered() + " of " + sent + " answered");
    if (callers.freshAnswered() < ANSWERED_SHARE * sent) {
      checker.violated("only " + callers.freshAnswered() + " of " + sent + " requests answered");
    }
    for (SimulatedInstance instance : world.instances()) {
      if (!instance.isReady()) {
        checker.violated(instance.id() + " has no lease after the faults ended");
      }
      if (instance.state().lists().revision() < acknowledgedRevision) {
        checker.violated(instance.id() + " lacks an acknowledged change of the lists");
      }
      checkOwners(instance);
    }
    finished = world.events() >= maxEvents;
    if (!finished) {
      beginFaults();
    }
  }

  private void checkOwners(SimulatedInstance instance) {
    ControlState state = instance.state();
    for (int slot = 0; slot < World.SERVICE.hashSlots(); slot++) {
      boolean owned =
          state
              .ownership(World.SERVICE.name(), slot)
              .map(SlotOwnership::owner)
              .flatMap(state::target)
              .filter(t -> t.status() == TargetStatus.ACTIVE && t.grant().isPresent())
              .isPresent();
      if (!owned) {
        world.checker().violated("slot " + slot + " has no active owner on " + instance.id());
      }
    }
  }
}
