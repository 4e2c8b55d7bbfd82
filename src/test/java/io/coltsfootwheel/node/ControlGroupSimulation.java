package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.simulation.SimulatedDisk;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Whole control processes of one group in virtual time, with disks that may be lost, stalled or
 * full, under targets, entries and an operator that send random calls.
 *
 * <p>Usage: {@code new ControlGroupSimulation(seed).run(20_000)}.
 */
final class ControlGroupSimulation {
  private static final int CORE_MACHINES = 6;
  private static final int VOTERS = 5;
  private static final int MAX_LOST_DISKS = 2;
  private static final long STEP_MILLIS = 5;
  private static final long TICK_MILLIS = 20;
  private static final long REOPEN_MILLIS = 500;
  private static final long CATCH_UP_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 12_000;

  private final SplittableRandom random;
  private final Map<InstanceId, Process> processes = new TreeMap<>();
  private final PriorityQueue<Scheduled> schedule = new PriorityQueue<>();
  private final Set<InstanceId> isolated = new HashSet<>();
  private final Map<Long, ControlAnswer> answers = new HashMap<>();
  private final List<InstanceId> seeds = new ArrayList<>();
  private final Map<Long, Integer> stateHashByIndex = new HashMap<>();
  private final SimulatedClients clients;

  /** When each machine that is down or catching up no longer counts as lost. */
  private final Map<InstanceId, Long> lostUntilNanos = new HashMap<>();

  private long nowNanos = 1;
  private long scheduledCount;
  private long lastRequestId;
  private long lostDisks;
  private boolean injectsFaults = true;

  private record Scheduled(long nanos, long number, Runnable task)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(nanos, other.nanos);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  ControlGroupSimulation(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 1; i <= 3; i++) {
      seeds.add(InstanceId.of("10." + i + ".0.1"));
    }
    for (int i = 0; i < CORE_MACHINES; i++) {
      InstanceId id = InstanceId.of("10." + (i % 3 + 1) + ".0." + (i / 3 + 1));
      processes.put(id, new Process(id));
    }
    clients = new SimulatedClients(this, random.split());
    processes.values().forEach(p -> p.start(true));
  }

  /** Runs with faults, ends them all, and returns whether a change is committed afterwards. */
  boolean run(long millis) {
    after(3_000, this::injectFault);
    runFor(millis);
    injectsFaults = false;
    isolated.clear();
    processes.values().forEach(Process::endFaults);
    closingFault();
    runFor(RECOVERY_MILLIS);
    return clients.canChangeConfiguration();
  }

  /** Returns whether all processes have received the replicated state. */
  boolean allHaveState() {
    return processes.values().stream()
        .allMatch(p -> p.reducer.filter(r -> r.state().index() > 0).isPresent());
  }

  long nowNanos() {
    return nowNanos;
  }

  long lostDisks() {
    return lostDisks;
  }

  void after(long millis, Runnable task) {
    schedule.add(
        new Scheduled(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis), scheduledCount++, task));
  }

  void runFor(long millis) {
    long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    while (nowNanos < endNanos) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
      while (!schedule.isEmpty() && schedule.peek().nanos() <= nowNanos) {
        schedule.poll().task().run();
      }
    }
  }

  InstanceId anyProcess() {
    return List.copyOf(processes.keySet()).get(random.nextInt(processes.size()));
  }

  Optional<InstanceId> leader() {
    return processes.values().stream()
        .filter(p -> p.reducer.filter(r -> r.role() == Role.LEADER_READY).isPresent())
        .max((a, b) -> Long.compare(a.term(), b.term()))
        .map(p -> p.id);
  }

  /** Sends a call to a process and returns its request number. */
  long call(InstanceId to, LongFunction<ControlEvent> event) {
    long id = ++lastRequestId;
    after(1, () -> processes.get(to).handle(event.apply(id)));
    return id;
  }

  Optional<ControlAnswer> answer(long call) {
    return Optional.ofNullable(answers.get(call));
  }

  void deliver(InstanceId from, InstanceId to, NodeMessage message) {
    Process receiver = processes.get(to);
    if (receiver == null) {
      clients.receive(from, to, message);
    } else if (!isolated.contains(from) && !isolated.contains(to)) {
      NodeMessage decoded = NodeMessage.decode(message.toFrame());
      receiver.handle(new ControlEvent.MessageReceived(nowNanos, from, decoded));
    }
  }

  private void injectFault() {
    if (!injectsFaults) {
      return;
    }
    Process process = processes.get(anyProcess());
    int kind = random.nextInt(100);
    if (kind < 20) {
      if (markLost(process.id, 2_000)) {
        process.crash();
      }
    } else if (kind < 32) {
      process.loseDisk();
    } else if (kind < 42) {
      isolate(process.id);
    } else if (kind < 52) {
      process.stallDisk();
    } else if (kind < 62) {
      process.fillDisk();
    } else if (kind < 70) {
      process.freeze();
    } else if (kind < 75) {
      processes.values().forEach(Process::crash);
    } else if (kind < 80) {
      closingFault();
    } else {
      seeds.forEach(s -> processes.get(anyProcess()).handle(seedsChanged()));
    }
    after(50 + random.nextInt(1_500), this::injectFault);
  }

  /** Two machines lose their disks while all others lose power. */
  private void closingFault() {
    for (int i = 0; i < MAX_LOST_DISKS; i++) {
      processes.get(anyProcess()).loseDisk();
    }
    processes.values().forEach(Process::crash);
  }

  private ControlEvent seedsChanged() {
    return new ControlEvent.SeedsChanged(nowNanos, List.of(anyProcess(), anyProcess()));
  }

  private void isolate(InstanceId id) {
    if (markLost(id, 2_000)) {
      isolated.add(id);
      after(random.nextInt(2_000), () -> isolated.remove(id));
    }
  }

  /** Counts a machine as lost, unless more than the tolerated number would be lost. */
  private boolean markLost(InstanceId id, long downMillis) {
    lostUntilNanos.values().removeIf(until -> until < nowNanos);
    if (lostUntilNanos.size() >= MAX_LOST_DISKS && !lostUntilNanos.containsKey(id)) {
      return false;
    }
    lostUntilNanos.put(id, nowNanos + TimeUnit.MILLISECONDS.toNanos(downMillis + CATCH_UP_MILLIS));
    return true;
  }

  private void checkState(ControlReducer reducer) {
    long index = reducer.state().index();
    int hash = Arrays.hashCode(reducer.state().toSnapshot());
    if (stateHashByIndex.merge(index, hash, (before, after) -> before) != hash) {
      throw new AssertionError("two states at index " + index);
    }
  }

  /** One machine of the core. */
  private final class Process {
    private final InstanceId id;
    private SimulatedDisk disk;
    private Optional<ControlReducer> reducer = Optional.empty();
    private int run;
    private int diskNumber;
    private boolean running;
    private boolean full;
    private boolean syncing;
    private long stalledUntilNanos;
    private long frozenUntilNanos;
    private long checkedIndex;

    private Process(InstanceId id) {
      this.id = id;
      replaceDisk();
    }

    private long term() {
      return reducer.map(ControlReducer::term).orElse(0L);
    }

    private void replaceDisk() {
      diskNumber++;
      disk = new SimulatedDisk(id + "-" + diskNumber);
    }

    private void start(boolean firstStart) {
      running = true;
      run++;
      open(firstStart);
      tick(run);
    }

    private void open(boolean firstStart) {
      MemberId self = new MemberId(id, disk.id());
      ControlSettings settings =
          new ControlSettings(
              id,
              seeds,
              firstStart,
              VOTERS,
              CATCH_UP_MILLIS / 4,
              OwnershipSettings.of(870, 10_000),
              Set.of());
      ReplicationReducer replication =
          new ReplicationReducer(
              ControlNode.replicationSettings(self, settings, random.nextLong()),
              disk.durableState(),
              nowNanos);
      reducer = Optional.of(new ControlReducer(settings, self, replication, nowNanos));
      syncing = false;
    }

    private void tick(int ofRun) {
      if (running && ofRun == run) {
        handle(new ControlEvent.Tick(nowNanos));
        after(TICK_MILLIS, () -> tick(ofRun));
      }
    }

    private void handle(ControlEvent event) {
      if (nowNanos < frozenUntilNanos) {
        int ofRun = run;
        after(
            STEP_MILLIS + TimeUnit.NANOSECONDS.toMillis(frozenUntilNanos - nowNanos),
            () -> {
              if (ofRun == run) {
                handle(event);
              }
            });
      } else if (running && reducer.isPresent()) {
        List<ControlEffect> effects = apply(event);
        effects.forEach(this::execute);
      }
    }

    private List<ControlEffect> apply(ControlEvent event) {
      try {
        ControlReducer current = reducer.get();
        List<ControlEffect> effects = current.apply(event);
        if (current.state().index() > checkedIndex) {
          checkedIndex = current.state().index();
          checkState(current);
        }
        return effects;
      } catch (RuntimeException | Error e) {
        throw new AssertionError(id + " failed on " + event, e);
      }
    }

    private void execute(ControlEffect effect) {
      if (effect instanceof ControlEffect.Send send) {
        after(1 + random.nextInt(3), () -> deliver(id, send.to(), send.message()));
      } else if (effect instanceof ControlEffect.Persist persist) {
        disk.write(persist.effect());
        startSync();
      } else if (effect instanceof ControlEffect.Answer answer) {
        answers.put(answer.requestId(), answer.answer());
      } else if (effect instanceof ControlEffect.CallTarget call) {
        clients.called(id, call.call());
      } else if (effect instanceof ControlEffect.CloseJournal) {
        closeJournal();
      }
    }

    private void startSync() {
      if (!syncing) {
        syncing = true;
        int ofRun = run;
        ControlReducer ofReducer = reducer.get();
        int writes = disk.unsyncedCount();
        long stallMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(stalledUntilNanos - nowNanos));
        after(
            5 + random.nextInt(10) + stallMillis,
            () -> {
              if (ofRun == run && reducer.filter(r -> r == ofReducer).isPresent()) {
                endSync(writes);
              }
            });
      }
    }

    private void endSync(int writes) {
      syncing = false;
      if (full) {
        handle(new ControlEvent.JournalResult(new ReplicationEvent.PersistFailed(nowNanos)));
        return;
      }
      List<Long> sequences = new ArrayList<>();
      for (int i = 0; i < writes; i++) {
        sequences.add(disk.sync(1));
      }
      if (disk.hasUnsynced()) {
        startSync();
      }
      sequences.forEach(
          s -> handle(new ControlEvent.JournalResult(new ReplicationEvent.Persisted(nowNanos, s))));
    }

    private void closeJournal() {
      reducer = Optional.empty();
      disk.crash(random.nextInt(disk.unsyncedCount() + 1));
      int ofRun = run;
      after(
          REOPEN_MILLIS,
          () -> {
            if (ofRun == run && running) {
              open(false);
            }
          });
    }

    private void crash() {
      if (running) {
        running = false;
        run++;
        disk.crash(random.nextInt(disk.unsyncedCount() + 1));
        after(200 + random.nextInt(1_200), () -> start(false));
      }
    }

    private void loseDisk() {
      if (running && markLost(id, 2_000)) {
        crash();
        replaceDisk();
        checkedIndex = 0;
        full = false;
        lostDisks++;
      }
    }

    private void stallDisk() {
      if (markLost(id, 2_500)) {
        stalledUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(random.nextInt(2_500));
      }
    }

    private void fillDisk() {
      if (markLost(id, 2_000)) {
        full = true;
        after(random.nextInt(2_000), () -> full = false);
      }
    }

    private void freeze() {
      if (markLost(id, 2_000)) {
        frozenUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(random.nextInt(2_000));
      }
    }

    private void endFaults() {
      full = false;
      frozenUntilNanos = nowNanos;
      stalledUntilNanos = nowNanos;
    }
  }
}
