package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.dispatch.DispatchSettings;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.dispatch.EntrySettings;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.simulation.SimulatedDisk;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * Simulated instance: its clock, the reducer of its current process and, on a control member, its
 * disk.
 */
final class SimulatedInstance {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long REOPEN_NANOS = 500 * MILLI;

  /** Far below the number of a daemon, since a run commits too few commands to reach that. */
  private static final int SNAPSHOT_COMMANDS = 50;

  private final InstanceId id;
  private final SimulatedSystem system;
  private final boolean member;
  private final double clockRate;
  private final long clockOffsetNanos;
  private final Deque<LongFunction<InstanceEvent>> eventsWhilePaused = new ArrayDeque<>();
  private final Map<Long, Consumer<Optional<CommandResult>>> answerByProposalId = new HashMap<>();
  private SimulatedDisk disk;
  private ReplicationReducer replication;
  private InstanceReducer reducer;
  private RequestDrivers drivers;
  private ControlState state = ControlState.empty();
  private String session = "";
  private int diskNumber;
  private int incarnation;
  private boolean running;
  private boolean paused;
  private boolean syncing;
  private boolean diskFull;
  private long nextProposalId = 1;

  SimulatedInstance(
      InstanceId id,
      SimulatedSystem system,
      boolean member,
      double clockRate,
      long clockOffsetNanos) {
    this.id = id;
    this.system = system;
    this.member = member;
    this.clockRate = clockRate;
    this.clockOffsetNanos = clockOffsetNanos;
    replaceDisk();
  }

  InstanceId id() {
    return id;
  }

  boolean isMember() {
    return member;
  }

  boolean isRunning() {
    return running;
  }

  int incarnation() {
    return incarnation;
  }

  String session() {
    return session;
  }

  ControlState state() {
    return state;
  }

  RequestDrivers drivers() {
    return drivers;
  }

  MemberId memberId() {
    return new MemberId(id, disk.id());
  }

  ReplicationReducer replication() {
    return replication;
  }

  boolean isReady() {
    return running && !paused && reducer.isReady(localNow());
  }

  boolean isLeading() {
    return running && reducer.member().filter(MemberReducer::isLeading).isPresent();
  }

  long localNow() {
    return clockOffsetNanos + (long) (system.clock().now() * clockRate);
  }

  void replaceDisk() {
    diskNumber++;
    disk = new SimulatedDisk(id + "-disk-" + diskNumber);
  }

  void start() {
    running = true;
    paused = false;
    syncing = false;
    session = "s" + incarnation;
    state = ControlState.empty();
    drivers = new RequestDrivers(this, system);
    reducer = createReducer();
    system.checker().event(id + " starts " + session + " on " + (member ? disk.id() : "no disk"));
    int startedIncarnation = incarnation;
    system.clock().after(1 + system.random().nextLong(10 * MILLI), () -> tick(startedIncarnation));
  }

  /** Lets all writes fail that are not synced yet, until there is room again. */
  void fillDisk() {
    system.checker().event(id + " has a full disk");
    diskFull = true;
  }

  void freeDisk() {
    system.checker().event(id + " has room on its disk");
    diskFull = false;
  }

  private void failWrites(int startedIncarnation) {
    disk.crash(system.random().nextInt(disk.unsyncedCount() + 1));
    syncing = false;
    handleInIncarnation(
        startedIncarnation,
        nowNanos -> new InstanceEvent.Replication(new ReplicationEvent.PersistFailed(nowNanos)));
  }

  /** Opens the journal again when the disk has room, as {@link MemberJournal} does. */
  private void reopenJournal(int startedIncarnation) {
    if (startedIncarnation != incarnation) {
      return;
    }
    if (diskFull) {
      system.clock().after(REOPEN_NANOS, () -> reopenJournal(startedIncarnation));
    } else {
      handle(
          nowNanos ->
              new InstanceEvent.MemberReopened(
                  nowNanos, createMember(system.random().nextLong(), nowNanos)));
    }
  }

  private MemberReducer createMember(long seed, long nowNanos) {
    replication = new ReplicationReducer(settings(seed), disk.durableState(), nowNanos);
    return new MemberReducer(
        memberId(),
        replication,
        new Supervisor(),
        List.of(SimulatedSystem.SERVICE),
        system.members(),
        SNAPSHOT_COMMANDS);
  }

  private InstanceReducer createReducer() {
    long nowNanos = localNow();
    long seed = system.random().nextLong();
    Optional<MemberReducer> memberReducer =
        member ? Optional.of(createMember(seed, nowNanos)) : Optional.empty();
    AvailabilityZone zone = AvailabilityZone.of("z");
    Address address = Address.parse("127.0.0.1:9000");
    Optional<StateFollower> follower =
        member
            ? Optional.empty()
            : Optional.of(new StateFollower(system.members(), id, address, nowNanos));
    InstanceSpec spec = new InstanceSpec(id, zone, address, address, session);
    LeaseClient lease = new LeaseClient(spec, nowNanos);
    EntryRouter router = new EntryRouter(id, session, zone, EntrySettings.defaults(), seed);
    RequestReducer requests =
        new RequestReducer(id, lease.session(), DispatchSettings.defaults(), router);
    return new InstanceReducer(id, system.members(), memberReducer, follower, lease, requests);
  }

  /**
   * Returns settings with few retained entries and small snapshot chunks, so that repaired members
   * install snapshots.
   */
  private ReplicationSettings settings(long seed) {
    ReplicationSettings defaults = ReplicationSettings.of(memberId(), system.members(), true, seed);
    return new ReplicationSettings(
        defaults.self(),
        defaults.initialMembers(),
        defaults.repairsReplacedDisks(),
        seed,
        defaults.heartbeatNanos(),
        defaults.electionMinNanos(),
        defaults.electionMaxNanos(),
        defaults.maxBatchEntries(),
        defaults.maxBatchBytes(),
        defaults.maxUncommitted(),
        2_048,
        10,
        defaults.retainedBytes());
  }

  private void tick(int startedIncarnation) {
    if (startedIncarnation == incarnation && running) {
      if (!paused) {
        handle(InstanceEvent.Tick::new);
      }
      system.clock().after(10 * MILLI, () -> tick(startedIncarnation));
    }
  }

  void crash() {
    int keptWrites = system.random().nextInt(disk.unsyncedCount() + 1);
    disk.crash(keptWrites);
    stop();
  }

  /** Ends the process and replaces its disk by an empty one. */
  void loseDisk() {
    disk.crash(0);
    replaceDisk();
    stop();
  }

  private void stop() {
    system.checker().event(id + " ends " + session);
    incarnation++;
    running = false;
    paused = false;
    eventsWhilePaused.clear();
    List.copyOf(answerByProposalId.values())
        .forEach(pendingAnswer -> pendingAnswer.accept(Optional.empty()));
    answerByProposalId.clear();
  }

  void pause() {
    system.checker().event(id + " pauses");
    paused = true;
  }

  void resume() {
    if (paused) {
      system.checker().event(id + " resumes");
    }
    paused = false;
    while (running && !paused && !eventsWhilePaused.isEmpty()) {
      process(eventsWhilePaused.poll());
    }
  }

  /**
   * Handles an event now or, while paused, when the process resumes. A stopped instance drops the
   * event.
   */
  void handle(LongFunction<InstanceEvent> event) {
    if (running && paused) {
      eventsWhilePaused.add(event);
    } else if (running) {
      process(event);
    }
  }

  /** Handles an event unless the process of the given incarnation has ended. */
  void handleInIncarnation(int startedIncarnation, LongFunction<InstanceEvent> event) {
    if (startedIncarnation == incarnation) {
      handle(event);
    }
  }

  void propose(Command command, Consumer<Optional<CommandResult>> answer) {
    long proposalId = nextProposalId++;
    answerByProposalId.put(proposalId, answer);
    handle(nowNanos -> new InstanceEvent.ProposalRequested(nowNanos, proposalId, command));
  }

  private void process(LongFunction<InstanceEvent> event) {
    system.countEvent();
    try {
      List<InstanceEffect> effects = reducer.apply(event.apply(localNow()));
      effects.forEach(this::execute);
    } catch (RuntimeException e) {
      StackTraceElement at = e.getStackTrace()[0];
      system.checker().recordViolation("decision of " + id + " failed: " + e + " at " + at);
    }
  }

  private void execute(InstanceEffect effect) {
    if (effect instanceof InstanceEffect.SendMessage send) {
      Frame frame = send.message().toFrame();
      system.links().sendControl(id, send.to(), () -> system.deliver(id, send.to(), frame));
    } else if (effect instanceof InstanceEffect.Persist persist) {
      disk.write(persist.effect());
      startSync();
    } else if (effect instanceof InstanceEffect.PersistSnapshot persist) {
      disk.write(persist.effect());
      startSync();
    } else if (effect instanceof InstanceEffect.ReopenJournal) {
      int failedIncarnation = incarnation;
      system.clock().after(REOPEN_NANOS, () -> reopenJournal(failedIncarnation));
    } else if (effect instanceof InstanceEffect.Dispatch dispatch) {
      drivers.execute(dispatch.effect());
    } else if (effect instanceof InstanceEffect.Entry entry) {
      drivers.execute(entry.effect());
    } else if (effect instanceof InstanceEffect.PublishState published) {
      state = published.state();
      system.checker().statePublished(id + "/" + session, state);
    } else if (effect instanceof InstanceEffect.AnswerProposal answer) {
      Optional.ofNullable(answerByProposalId.remove(answer.proposalId()))
          .ifPresent(pendingAnswer -> pendingAnswer.accept(answer.result()));
    } else if (effect instanceof InstanceEffect.LogChange change) {
      system.checker().event(id + " " + change.text());
    }
  }

  private void startSync() {
    if (!syncing) {
      syncing = true;
      int startedIncarnation = incarnation;
      int writeCount = disk.unsyncedCount();
      system
          .clock()
          .after(
              1 + system.random().nextLong(8 * MILLI),
              () -> endSync(startedIncarnation, writeCount));
    }
  }

  private void endSync(int startedIncarnation, int writeCount) {
    if (startedIncarnation != incarnation || !running) {
      return;
    }
    if (diskFull) {
      failWrites(startedIncarnation);
      return;
    }
    syncing = false;
    long sequence = disk.sync(Math.max(1, writeCount));
    if (disk.hasUnsynced()) {
      startSync();
    }
    handle(
        nowNanos ->
            new InstanceEvent.Replication(new ReplicationEvent.Persisted(nowNanos, sequence)));
  }
}
