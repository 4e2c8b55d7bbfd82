package io.coltsfootwheel.simulation;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.LogEntry;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/** Simulated instance with disk, reducer and state machine, which can crash and restart. */
public final class SimulatedMember {
  /** Services that the simulation provides to a member. */
  public record Environment(
      SimulationClock clock,
      SafetyChecker checker,
      BiConsumer<SimulatedMember, ReplicationEffect.Send> sender,
      Function<MemberId, ReplicationSettings> settings,
      Supplier<SimulatedStateMachine> stateMachine,
      Supplier<Long> syncNanos) {}

  private final InstanceId instance;
  private final Environment environment;
  private final long clockOffsetNanos;
  private final Deque<LongFunction<ReplicationEvent>> eventsDuringPause = new ArrayDeque<>();
  private final Map<Long, Long> readyTermByRequest = new HashMap<>();
  private SimulatedDisk disk;
  private SimulatedStateMachine machine;
  private ReplicationReducer reducer;
  private Role role = Role.FOLLOWER;
  private int diskNumber;
  private int run;
  private boolean running;
  private boolean paused;
  private boolean syncing;
  private long eventCount;

  public SimulatedMember(InstanceId instance, Environment environment, long clockOffsetNanos) {
    this.instance = instance;
    this.environment = environment;
    this.clockOffsetNanos = clockOffsetNanos;
    replaceDisk();
  }

  public InstanceId instance() {
    return instance;
  }

  public MemberId id() {
    return new MemberId(instance, disk.id());
  }

  public ReplicationReducer reducer() {
    return reducer;
  }

  public SimulatedStateMachine machine() {
    return machine;
  }

  public Role role() {
    return role;
  }

  public boolean isRunning() {
    return running;
  }

  public boolean isActive() {
    return running && !paused;
  }

  public long eventCount() {
    return eventCount;
  }

  /** Returns a number that changes with each crash, to detect actions scheduled before it. */
  public int run() {
    return run;
  }

  public void replaceDisk() {
    diskNumber++;
    disk = new SimulatedDisk(instance + "-disk-" + diskNumber);
  }

  public void start() {
    DurableState durableState = disk.durableState();
    running = true;
    paused = false;
    syncing = false;
    role = Role.FOLLOWER;
    machine = environment.stateMachine().get();
    reducer = new ReplicationReducer(environment.settings().apply(id()), durableState, localNow());
  }

  public void crash(int keptWrites) {
    run++;
    running = false;
    eventsDuringPause.clear();
    readyTermByRequest.clear();
    disk.crash(keptWrites);
  }

  public int unsyncedWrites() {
    return disk.unsyncedCount();
  }

  public void pause() {
    paused = true;
  }

  public void resume() {
    paused = false;
    while (running && !paused && !eventsDuringPause.isEmpty()) {
      process(eventsDuringPause.poll());
    }
  }

  private long localNow() {
    return environment.clock().now() + clockOffsetNanos;
  }

  /** Processes an event now, or when the member resumes from a pause. */
  public void handle(LongFunction<ReplicationEvent> event) {
    if (!running) {
      return;
    }
    if (paused) {
      eventsDuringPause.add(event);
    } else {
      process(event);
    }
  }

  private void process(LongFunction<ReplicationEvent> eventAt) {
    eventCount++;
    ReplicationEvent event = eventAt.apply(localNow());
    if (event instanceof ReplicationEvent.ConfirmLeadership confirm) {
      readyTermByRequest.put(confirm.requestId(), environment.checker().readyTerm());
    }
    List<ReplicationEffect> effects;
    try {
      effects = reducer.apply(event);
    } catch (RuntimeException e) {
      environment.checker().recordViolation(id() + ": " + e);
      crash(0);
      return;
    }
    effects.forEach(this::execute);
  }

  private void execute(ReplicationEffect effect) {
    if (effect instanceof ReplicationEffect.Send send) {
      environment.sender().accept(this, send);
    } else if (effect instanceof ReplicationEffect.Persist
        || effect instanceof ReplicationEffect.PersistSnapshot) {
      disk.write(effect);
      startSync();
    } else if (effect instanceof ReplicationEffect.ApplyCommitted apply) {
      applyEntry(apply);
    } else if (effect instanceof ReplicationEffect.InstallSnapshot install) {
      machine.restore(install.index(), install.bytes());
      environment.checker().recordApplied(id(), install.index(), machine.hash());
    } else if (effect instanceof ReplicationEffect.LeadershipConfirmed confirmed) {
      long readyTermAtRequest = readyTermByRequest.get(confirmed.requestId());
      environment.checker().checkConfirmation(id(), reducer.term(), readyTermAtRequest);
    } else if (effect instanceof ReplicationEffect.RoleChanged change) {
      changeRole(change);
    }
  }

  private void applyEntry(ReplicationEffect.ApplyCommitted apply) {
    if (apply.index() != machine.appliedIndex() + 1) {
      environment
          .checker()
          .recordViolation(id() + " applied out of order at index " + apply.index());
    }
    machine.apply(apply.index(), apply.bytes());
    environment.checker().recordApplied(id(), apply.index(), machine.hash());
  }

  private void changeRole(ReplicationEffect.RoleChanged change) {
    role = change.role();
    if (role == Role.LEADER_STARTING || role == Role.LEADER_READY) {
      environment.checker().recordLeader(id(), change.term());
    }
    if (role == Role.LEADER_READY) {
      environment.checker().recordReadyLeader(id(), change.term(), machine.appliedIndex());
    }
  }

  private void startSync() {
    if (!syncing) {
      syncing = true;
      int runAtStart = run;
      int writes = disk.unsyncedCount();
      environment.clock().after(environment.syncNanos().get(), () -> endSync(runAtStart, writes));
    }
  }

  private void endSync(int runAtStart, int writes) {
    if (runAtStart != run || !running) {
      return;
    }
    syncing = false;
    long sequence = disk.sync(Math.max(1, writes));
    if (disk.hasUnsynced()) {
      startSync();
    }
    handle(now -> new ReplicationEvent.Persisted(now, sequence));
  }

  /** Fails the sync in progress; the member then crashes, as the daemon exits in this case. */
  public void failSync() {
    handle(now -> new ReplicationEvent.PersistFailed(now));
    crash(0);
  }

  /** Returns the synced entries on the disk. */
  public List<LogEntry> storedEntries() {
    return disk.durableState().entries();
  }
}
