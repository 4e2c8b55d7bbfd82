package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Control state, supervisor and fakes of dispatchers and targets in simulated time.
 *
 * <p>Proposals are lost, delayed and reordered, renewals and acknowledgements are lost and delayed,
 * and the views of instances lag. After each step it checks that no hash slot is executed by two
 * targets and that no target has two dispatchers.
 */
final class ControlSimulation {
  static final int HASH_SLOTS = 128;
  private static final int STEP_MILLIS = 10;

  final List<SimulatedInstance> instances = new ArrayList<>();
  final List<SimulatedTarget> targets = new ArrayList<>();
  final SplittableRandom random;
  ControlState state;
  long nowMillis = 10_000;
  boolean failures;
  int ownershipChanges;
  private final Supervisor supervisor = new Supervisor();
  private final PriorityQueue<Delayed> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Delayed::atMillis).thenComparing(Delayed::order));
  private long order;
  private int term;
  private long leaderFromMillis;

  ControlSimulation(long seed, int instanceCount, int targetCount) {
    random = new SplittableRandom(seed);
    state = Fixtures.Log.of(Fixtures.service(HASH_SLOTS)).state();
    for (int n = 0; n < instanceCount; n++) {
      instances.add(new SimulatedInstance(n));
    }
    for (int n = 0; n < targetCount; n++) {
      targets.add(new SimulatedTarget(n));
    }
    electNow();
  }

  void run(long millis) {
    long end = nowMillis + millis;
    while (nowMillis < end) {
      nowMillis += STEP_MILLIS;
      if (failures && random.nextInt(20) == 0) {
        fail();
      }
      deliver();
      if (term > 0 && leaderFromMillis <= nowMillis && nowMillis % 50 == 0) {
        execute(supervisor.apply(new SupervisorEvent.Tick(nanos())));
      }
      instances.forEach(this::step);
      targets.forEach(this::step);
      checkDispatchers();
    }
  }

  private void fail() {
    SimulatedInstance instance = instances.get(random.nextInt(instances.size()));
    SimulatedTarget target = targets.get(random.nextInt(targets.size()));
    switch (random.nextInt(12)) {
      case 0, 1 -> instance.pausedUntilMillis = nowMillis + random.nextInt(1_500);
      case 2 -> instance.restart(state);
      case 3 -> instance.leaves = true;
      case 4, 5, 6 -> target.unreachableUntilMillis = nowMillis + random.nextInt(3_000);
      case 7 -> restart(target);
      case 8 -> deposeLeader();
      case 9 -> drain(target);
      case 10 -> targets.forEach(this::cutZone);
      default -> propose(declareGone(target));
    }
  }

  private void cutZone(SimulatedTarget target) {
    if (target.number % 3 == 0) {
      target.unreachableUntilMillis = nowMillis + 1_000;
    }
  }

  void restart(SimulatedTarget target) {
    target.busyUntilMillis.clear();
    target.incarnation++;
    target.drains = false;
    target.stoppedUntilMillis = nowMillis + random.nextInt(1_000);
  }

  void drain(SimulatedTarget target) {
    target.drains = true;
  }

  private Command declareGone(SimulatedTarget target) {
    // An operator declares a target gone after its process has ended.
    target.busyUntilMillis.clear();
    target.stoppedUntilMillis = Long.MAX_VALUE;
    return statusOf(target, TargetStatus.GONE);
  }

  private static Command statusOf(SimulatedTarget target, TargetStatus status) {
    return new Command.ChangeTargetStatus(
        target.id(), status, target.incarnationName(), 0, "operator");
  }

  /** Proposals of the old leader either commit before the new leader's first entry or never. */
  private void deposeLeader() {
    supervisor.apply(new SupervisorEvent.LeadershipLost());
    List<Delayed> kept = new ArrayList<>();
    while (!queue.isEmpty()) {
      Delayed next = queue.poll();
      if (next.command() == null) {
        kept.add(next);
      } else if (random.nextBoolean()) {
        commit(next.command(), false);
      }
    }
    queue.addAll(kept);
    term++;
    leaderFromMillis = nowMillis + 150 + random.nextInt(150);
    later(leaderFromMillis - nowMillis, null, this::electNow);
  }

  private void electNow() {
    if (term > 0 && nowMillis < leaderFromMillis) {
      return;
    }
    term = Math.max(1, term);
    execute(supervisor.apply(new SupervisorEvent.LeadershipGained(nanos(), state)));
  }

  private void step(SimulatedInstance instance) {
    if (nowMillis < instance.pausedUntilMillis) {
      return;
    }
    if (random.nextInt(3) == 0) {
      instance.view = state;
    }
    for (SimulatedTarget target : targets) {
      int slot = random.nextInt(HASH_SLOTS);
      if (target.isReachable(nowMillis) && instance.maySend(target, slot, nowMillis)) {
        send(target, slot);
      }
    }
    if ((nowMillis / STEP_MILLIS + instance.number) % 10 == 0) {
      renew(instance);
    }
  }

  private void send(SimulatedTarget target, int slot) {
    for (SimulatedTarget other : targets) {
      if (other != target && other.isExecuting(slot, nowMillis)) {
        throw new AssertionError(
            "slot %d is executed by %s and %s".formatted(slot, other.id(), target.id()));
      }
    }
    target.busyUntilMillis.put(slot, nowMillis + 10 + random.nextInt(60));
  }

  private void renew(SimulatedInstance instance) {
    Renewal renewal = instance.renewal(targets, nowMillis);
    String session = renewal.session();
    if (instance.leaves && renewal.reports().isEmpty() && random.nextInt(10) == 0) {
      instance.restart(state);
    } else if (state.instance(renewal.instance()).isEmpty() && random.nextInt(3) == 0) {
      propose(Fixtures.register(instance.number, session));
    }
    if (!isLost()) {
      later(
          delay(),
          null,
          () -> {
            SupervisorEvent event = new SupervisorEvent.RenewalReceived(nanos(), renewal);
            for (SupervisorEffect effect : execute(supervisor.apply(event))) {
              if (effect instanceof SupervisorEffect.AllowRenewal && !isLost()) {
                acknowledge(instance, renewal);
              }
            }
          });
    }
  }

  /** The quorum round succeeds only while the leader that allowed the renewal still leads. */
  private void acknowledge(SimulatedInstance instance, Renewal renewal) {
    int allowedIn = term;
    long sentMillis = TimeUnit.NANOSECONDS.toMillis(renewal.sentNanos());
    later(
        delay(),
        null,
        () -> {
          if (allowedIn == term) {
            instance.acknowledge(sentMillis, renewal.session());
          }
        });
  }

  private void step(SimulatedTarget target) {
    if (nowMillis % 500 != 0 || nowMillis < target.stoppedUntilMillis) {
      return;
    }
    TargetSpec spec =
        Fixtures.targetSpec(target.number, 1 + target.number % 3, target.incarnationName());
    propose(new Command.AnnounceTarget(spec));
    if (target.drains) {
      propose(statusOf(target, TargetStatus.DRAINING));
    }
  }

  private List<SupervisorEffect> execute(List<SupervisorEffect> effects) {
    for (SupervisorEffect effect : effects) {
      if (effect instanceof SupervisorEffect.ProposeCommand proposal) {
        propose(proposal.command());
      }
    }
    return effects;
  }

  private void propose(Command command) {
    if (!isLost()) {
      later(delay(), command, () -> commit(command, true));
    }
  }

  private void commit(Command command, boolean notify) {
    SlotTable before = table();
    ControlState.Applied applied = state.apply(state.appliedIndex() + 1, command);
    state = applied.state();
    for (int slot = 0; slot < HASH_SLOTS; slot++) {
      ownershipChanges += before.fence(slot) == table().fence(slot) ? 0 : 1;
    }
    if (notify) {
      execute(supervisor.apply(new SupervisorEvent.StateApplied(nanos(), state)));
    }
  }

  private void checkDispatchers() {
    for (SimulatedTarget target : targets) {
      long holders = instances.stream().filter(i -> i.holds(target.id(), nowMillis)).count();
      if (holders > 1) {
        throw new AssertionError(target.id() + " has " + holders + " dispatchers");
      }
    }
  }

  private void deliver() {
    while (!queue.isEmpty() && queue.peek().atMillis() <= nowMillis) {
      queue.poll().action().run();
    }
  }

  private void later(long millis, Command command, Runnable action) {
    queue.add(new Delayed(nowMillis + millis, order++, command, action));
  }

  private boolean isLost() {
    return failures && random.nextInt(20) == 0;
  }

  private long delay() {
    return failures && random.nextInt(20) == 0 ? random.nextInt(700) : random.nextInt(30);
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  SlotTable table() {
    return state.content().services().get(Fixtures.LEDGER).orElseThrow().slots();
  }

  private record Delayed(long atMillis, long order, Command command, Runnable action) {}
}
