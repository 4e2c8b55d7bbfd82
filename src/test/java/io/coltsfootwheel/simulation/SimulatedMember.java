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

/** Instance with its disk, reducer and state machine; survives crashes of its process. */
public final class SimulatedMember {
  /** What the member needs from its surroundings. */
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
  private final Deque<LongFunction<ReplicationEvent>> whilePaused = new ArrayDeque<>();
  private final Map<Long, Long> readyTermAtQuestion = new HashMap<>();
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

  /** Changes with each crash, so that actions of an earlier process are recognized. */
  public int run() {
    return run;
  }

  public void replaceDisk() {
    diskNumber++;
    disk = new SimulatedDisk(instance + "-disk-" + diskNumber);
  }

  public void start() {
    DurableState content = disk.content();
    running = true;
    paused = false;
    syncing = false;
    role = Role.FOLLOWER;
    machine = environment.stateMachine().get();
    reducer = new ReplicationReducer(environment.settings().apply(id()), content, localNow());
  }

  public void crash(int keptWrites) {
    run++;
    running = false;
    whilePaused.clear();
    readyTermAtQuestion.clear();
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
    while (running && !paused && !whilePaused.isEmpty()) {
      process(whilePaused.poll());
    }
  }

  private long localNow() {
    return environment.clock().now() + clockOffsetNanos;
  }

  /** Processes an event now, or after the present pause. */
  public void handle(LongFunction<ReplicationEvent> event) {
    if (!running) {
      return;
    }
    if (paused) {
      whilePaused.add(event);
    } else {
      process(event);
    }
  }

  private void process(LongFunction<ReplicationEvent> source) {
    eventCount++;
    ReplicationEvent event = source.apply(localNow());
    if (event instanceof ReplicationEvent.ConfirmLeadership question) {
      readyTermAtQuestion.put(question.requestId(), environment.checker().readyTerm());
    }
    List<ReplicationEffect> effects;
    try {
      effects = reducer.apply(event);
    } catch (RuntimeException e) {
      environment.checker().violation(id() + ": " + e);
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
      environment.checker().applied(id(), install.index(), machine.hash());
    } else if (effect instanceof ReplicationEffect.LeadershipConfirmed answer) {
      long asked = readyTermAtQuestion.get(answer.requestId());
      environment.checker().confirmed(id(), reducer.term(), asked);
    } else if (effect instanceof ReplicationEffect.RoleChanged change) {
      changeRole(change);
    }
  }

  private void applyEntry(ReplicationEffect.ApplyCommitted apply) {
    if (apply.index() != machine.appliedIndex() + 1) {
      environment.checker().violation(id() + " skipped to index " + apply.index());
    }
    machine.apply(apply.index(), apply.bytes());
    environment.checker().applied(id(), apply.index(), machine.hash());
  }

  private void changeRole(ReplicationEffect.RoleChanged change) {
    role = change.role();
    if (role == Role.LEADER_STARTING || role == Role.LEADER_READY) {
      environment.checker().leads(id(), change.term());
    }
    if (role == Role.LEADER_READY) {
      environment.checker().ready(id(), change.term(), machine.appliedIndex());
    }
  }

  private void startSync() {
    if (!syncing) {
      syncing = true;
      int startedIn = run;
      int writes = disk.unsyncedCount();
      environment.clock().after(environment.syncNanos().get(), () -> endSync(startedIn, writes));
    }
  }

  private void endSync(int startedIn, int writes) {
    if (startedIn != run || !running) {
      return;
    }
    syncing = false;
    long sequence = disk.sync(Math.max(1, writes));
    if (disk.hasUnsynced()) {
      startSync();
    }
    handle(now -> new ReplicationEvent.Persisted(now, sequence));
  }

  /** Fails the sync in progress; the process stops as the daemon does. */
  public void failSync() {
    handle(now -> new ReplicationEvent.PersistFailed(now));
    crash(0);
  }

  /** Returns the entries on the disk, for checks of tests. */
  public List<LogEntry> storedEntries() {
    return disk.content().entries();
  }
}
