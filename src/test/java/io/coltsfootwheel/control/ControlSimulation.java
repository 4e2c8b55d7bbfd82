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
 * Simulation of the control state and the supervisor with simulated instances and targets.
 *
 * <p>Proposals are lost, delayed and reordered, renewals and acknowledgements are lost and delayed,
 * and instances apply the control state late. The simulation fails when requests for a hash slot
 * are executed by two targets at the same time, or when a target has two dispatchers after a step.
 */
final class ControlSimulation {
  static final int HASH_SLOTS = 128;
  private static final int STEP_MILLIS = 10;

  final List<SimulatedInstance> instances = new ArrayList<>();
  final List<SimulatedTarget> targets = new ArrayList<>();
  final SplittableRandom random;
  ControlState state;
  long nowMillis = 10_000;
  boolean injectFailures;
  int ownershipChanges;
  private final Supervisor supervisor = new Supervisor();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparing(ScheduledAction::sequence));
  private long sequence;
  private int term;
  private long leaderElectedMillis;

  ControlSimulation(long seed, int instanceCount, int targetCount) {
    random = new SplittableRandom(seed);
    state = Fixtures.CommandLog.of(Fixtures.service(HASH_SLOTS)).state();
    for (int number = 0; number < instanceCount; number++) {
      instances.add(new SimulatedInstance(number));
    }
    for (int number = 0; number < targetCount; number++) {
      targets.add(new SimulatedTarget(number));
    }
    electLeader();
  }

  void run(long durationMillis) {
    long endMillis = nowMillis + durationMillis;
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      if (injectFailures && random.nextInt(20) == 0) {
        injectFailure();
      }
      runDueActions();
      if (term > 0 && leaderElectedMillis <= nowMillis && nowMillis % 50 == 0) {
        proposeCommands(supervisor.apply(new SupervisorEvent.Tick(nowNanos())));
      }
      instances.forEach(this::step);
      targets.forEach(this::step);
      checkDispatchers();
    }
  }

  private void injectFailure() {
    SimulatedInstance instance = instances.get(random.nextInt(instances.size()));
    SimulatedTarget target = targets.get(random.nextInt(targets.size()));
    switch (random.nextInt(12)) {
      case 0, 1 -> instance.pausedUntilMillis = nowMillis + random.nextInt(1_500);
      case 2 -> instance.restart(state);
      case 3 -> instance.leaving = true;
      case 4, 5, 6 -> target.unreachableUntilMillis = nowMillis + random.nextInt(3_000);
      case 7 -> restart(target);
      case 8 -> deposeLeader();
      case 9 -> drain(target);
      case 10 -> targets.forEach(this::disconnectZone0);
      default -> propose(declareGone(target));
    }
  }

  private void disconnectZone0(SimulatedTarget target) {
    if (target.number % 3 == 0) {
      target.unreachableUntilMillis = nowMillis + 1_000;
    }
  }

  void restart(SimulatedTarget target) {
    target.busyUntilMillis.clear();
    target.incarnation++;
    target.drainRequested = false;
    target.stoppedUntilMillis = nowMillis + random.nextInt(1_000);
  }

  void drain(SimulatedTarget target) {
    target.drainRequested = true;
  }

  private Command declareGone(SimulatedTarget target) {
    // An operator declares a target gone only after its process has ended.
    target.busyUntilMillis.clear();
    target.stoppedUntilMillis = Long.MAX_VALUE;
    return changeStatus(target, TargetStatus.GONE);
  }

  private static Command changeStatus(SimulatedTarget target, TargetStatus status) {
    return new Command.ChangeTargetStatus(
        target.id(), status, target.incarnationName(), 0, "operator");
  }

  /**
   * Ends the term of the leader. Its outstanding proposals are either committed now, before the
   * first entry of the next leader, or never.
   */
  private void deposeLeader() {
    supervisor.apply(new SupervisorEvent.LeadershipLost());
    List<ScheduledAction> remaining = new ArrayList<>();
    while (!scheduledActions.isEmpty()) {
      ScheduledAction next = scheduledActions.poll();
      if (next.command() == null) {
        remaining.add(next);
      } else if (random.nextBoolean()) {
        commit(next.command(), false);
      }
    }
    scheduledActions.addAll(remaining);
    term++;
    leaderElectedMillis = nowMillis + 150 + random.nextInt(150);
    schedule(leaderElectedMillis - nowMillis, null, this::electLeader);
  }

  private void electLeader() {
    if (term > 0 && nowMillis < leaderElectedMillis) {
      return;
    }
    term = Math.max(1, term);
    proposeCommands(supervisor.apply(new SupervisorEvent.LeadershipGained(nowNanos(), state)));
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
    if (instance.leaving && renewal.reports().isEmpty() && random.nextInt(10) == 0) {
      instance.restart(state);
    } else if (state.instance(renewal.instance()).isEmpty() && random.nextInt(3) == 0) {
      propose(Fixtures.register(instance.number, session));
    }
    if (!isMessageLost()) {
      schedule(
          messageDelayMillis(),
          null,
          () -> {
            SupervisorEvent event = new SupervisorEvent.RenewalReceived(nowNanos(), renewal);
            for (SupervisorEffect effect : proposeCommands(supervisor.apply(event))) {
              if (effect instanceof SupervisorEffect.AllowRenewal && !isMessageLost()) {
                acknowledge(instance, renewal);
              }
            }
          });
    }
  }

  /**
   * Schedules the acknowledgement of a renewal. It is not sent when the leader that allowed the
   * renewal was replaced before its quorum round ended.
   */
  private void acknowledge(SimulatedInstance instance, Renewal renewal) {
    int allowedTerm = term;
    long sentMillis = TimeUnit.NANOSECONDS.toMillis(renewal.sentNanos());
    schedule(
        messageDelayMillis(),
        null,
        () -> {
          if (allowedTerm == term) {
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
    if (target.drainRequested) {
      propose(changeStatus(target, TargetStatus.DRAINING));
    }
  }

  private List<SupervisorEffect> proposeCommands(List<SupervisorEffect> effects) {
    for (SupervisorEffect effect : effects) {
      if (effect instanceof SupervisorEffect.ProposeCommand proposal) {
        propose(proposal.command());
      }
    }
    return effects;
  }

  private void propose(Command command) {
    if (!isMessageLost()) {
      schedule(messageDelayMillis(), command, () -> commit(command, true));
    }
  }

  private void commit(Command command, boolean notifySupervisor) {
    SlotOwnershipTable before = table();
    ControlState.Applied applied = state.apply(state.appliedIndex() + 1, command);
    state = applied.state();
    for (int slot = 0; slot < HASH_SLOTS; slot++) {
      ownershipChanges += before.fence(slot) == table().fence(slot) ? 0 : 1;
    }
    if (notifySupervisor) {
      proposeCommands(supervisor.apply(new SupervisorEvent.StateApplied(nowNanos(), state)));
    }
  }

  private void checkDispatchers() {
    for (SimulatedTarget target : targets) {
      long holders =
          instances.stream().filter(instance -> instance.holds(target.id(), nowMillis)).count();
      if (holders > 1) {
        throw new AssertionError(target.id() + " has " + holders + " dispatchers");
      }
    }
  }

  private void runDueActions() {
    while (!scheduledActions.isEmpty() && scheduledActions.peek().atMillis() <= nowMillis) {
      scheduledActions.poll().action().run();
    }
  }

  private void schedule(long delayMillis, Command command, Runnable action) {
    scheduledActions.add(new ScheduledAction(nowMillis + delayMillis, sequence++, command, action));
  }

  private boolean isMessageLost() {
    return injectFailures && random.nextInt(20) == 0;
  }

  private long messageDelayMillis() {
    return injectFailures && random.nextInt(20) == 0 ? random.nextInt(700) : random.nextInt(30);
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  SlotOwnershipTable table() {
    return state.content().services().get(Fixtures.LEDGER).orElseThrow().slots();
  }

  private record ScheduledAction(long atMillis, long sequence, Command command, Runnable action) {}
}
