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

/** Process of an instance with its clock, its reducer and, on a control member, its disk. */
final class SimulatedInstance {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  /** A run commits too few commands for the snapshots of a daemon. */
  private static final int SNAPSHOT_COMMANDS = 50;

  private final InstanceId id;
  private final World world;
  private final boolean member;
  private final double rate;
  private final long offsetNanos;
  private final Deque<LongFunction<InstanceEvent>> whilePaused = new ArrayDeque<>();
  private final Map<Long, Consumer<Optional<CommandResult>>> proposals = new HashMap<>();
  private SimulatedDisk disk;
  private ReplicationReducer replication;
  private InstanceReducer reducer;
  private RequestDrivers drivers;
  private ControlState state = ControlState.empty();
  private String session = "";
  private int diskNumber;
  private int run;
  private boolean running;
  private boolean paused;
  private boolean syncing;
  private long nextProposal = 1;

  SimulatedInstance(InstanceId id, World world, boolean member, double rate, long offsetNanos) {
    this.id = id;
    this.world = world;
    this.member = member;
    this.rate = rate;
    this.offsetNanos = offsetNanos;
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

  int run() {
    return run;
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
    return offsetNanos + (long) (world.clock().now() * rate);
  }

  void replaceDisk() {
    diskNumber++;
    disk = new SimulatedDisk(id + "-disk-" + diskNumber);
  }

  void start() {
    running = true;
    paused = false;
    syncing = false;
    session = "s" + run;
    state = ControlState.empty();
    drivers = new RequestDrivers(this, world);
    reducer = build();
    world.checker().event(id + " starts " + session + " on " + (member ? disk.id() : "no disk"));
    int startedIn = run;
    world.clock().after(1 + world.random().nextLong(10 * MILLI), () -> tick(startedIn));
  }

  private InstanceReducer build() {
    long nowNanos = localNow();
    long seed = world.random().nextLong();
    Optional<MemberReducer> part = Optional.empty();
    if (member) {
      replication = new ReplicationReducer(settings(seed), disk.durableState(), nowNanos);
      part =
          Optional.of(
              new MemberReducer(
                  memberId(),
                  replication,
                  new Supervisor(),
                  List.of(World.SERVICE),
                  world.members(),
                  SNAPSHOT_COMMANDS));
    }
    AvailabilityZone zone = AvailabilityZone.of("z");
    Address address = Address.parse("127.0.0.1:9000");
    Optional<StateFollower> follower =
        member
            ? Optional.empty()
            : Optional.of(new StateFollower(world.members(), id, address, nowNanos));
    InstanceSpec spec = new InstanceSpec(id, zone, address, address, session);
    LeaseClient lease = new LeaseClient(spec, nowNanos);
    EntryRouter router = new EntryRouter(id, session, zone, EntrySettings.defaults(), seed);
    RequestReducer requests =
        new RequestReducer(id, lease.session(), DispatchSettings.defaults(), router);
    return new InstanceReducer(id, world.members(), part, follower, lease, requests);
  }

  /** Keeps few entries and sends small chunks, so that repaired members install snapshots. */
  private ReplicationSettings settings(long seed) {
    ReplicationSettings usual = ReplicationSettings.of(memberId(), world.members(), true, seed);
    return new ReplicationSettings(
        usual.self(),
        usual.initialMembers(),
        usual.repairsReplacedDisks(),
        seed,
        usual.heartbeatNanos(),
        usual.electionMinNanos(),
        usual.electionMaxNanos(),
        usual.maxBatchEntries(),
        usual.maxBatchBytes(),
        usual.maxUncommitted(),
        2_048,
        10);
  }

  private void tick(int startedIn) {
    if (startedIn == run && running) {
      if (!paused) {
        handle(InstanceEvent.Tick::new);
      }
      world.clock().after(10 * MILLI, () -> tick(startedIn));
    }
  }

  void crash() {
    int kept = world.random().nextInt(disk.unsyncedCount() + 1);
    disk.crash(kept);
    stop();
  }

  /** The disk and what it held are lost; the next start finds an empty one. */
  void loseDisk() {
    disk.crash(0);
    replaceDisk();
    stop();
  }

  private void stop() {
    world.checker().event(id + " ends " + session);
    run++;
    running = false;
    paused = false;
    whilePaused.clear();
    List.copyOf(proposals.values()).forEach(p -> p.accept(Optional.empty()));
    proposals.clear();
  }

  void pause() {
    world.checker().event(id + " pauses");
    paused = true;
  }

  void resume() {
    if (paused) {
      world.checker().event(id + " resumes");
    }
    paused = false;
    while (running && !paused && !whilePaused.isEmpty()) {
      process(whilePaused.poll());
    }
  }

  /** Handles an event now or after the present pause; an ended process handles none. */
  void handle(LongFunction<InstanceEvent> event) {
    if (running && paused) {
      whilePaused.add(event);
    } else if (running) {
      process(event);
    }
  }

  /** Handles an event only while the process of the given run lives. */
  void handleIn(int startedIn, LongFunction<InstanceEvent> event) {
    if (startedIn == run) {
      handle(event);
    }
  }

  void propose(Command command, Consumer<Optional<CommandResult>> answer) {
    long number = nextProposal++;
    proposals.put(number, answer);
    handle(now -> new InstanceEvent.ProposalRequested(now, number, command));
  }

  private void process(LongFunction<InstanceEvent> event) {
    world.countEvent();
    try {
      List<InstanceEffect> effects = reducer.apply(event.apply(localNow()));
      effects.forEach(this::execute);
    } catch (RuntimeException e) {
      StackTraceElement at = e.getStackTrace()[0];
      world.checker().violated("decision of " + id + " failed: " + e + " at " + at);
    }
  }

  private void execute(InstanceEffect effect) {
    if (effect instanceof InstanceEffect.SendMessage send) {
      Frame frame = send.message().toFrame();
      world.links().control(id, send.to(), () -> world.received(id, send.to(), frame));
    } else if (effect instanceof InstanceEffect.Persist persist) {
      disk.write(persist.effect());
      startSync();
    } else if (effect instanceof InstanceEffect.PersistSnapshot persist) {
      disk.write(persist.effect());
      startSync();
    } else if (effect instanceof InstanceEffect.Dispatch dispatch) {
      drivers.execute(dispatch.effect());
    } else if (effect instanceof InstanceEffect.Entry entry) {
      drivers.execute(entry.effect());
    } else if (effect instanceof InstanceEffect.PublishState published) {
      state = published.state();
      world.checker().published(id + "/" + session, state);
    } else if (effect instanceof InstanceEffect.AnswerProposal answer) {
      Optional.ofNullable(proposals.remove(answer.proposalId()))
          .ifPresent(p -> p.accept(answer.result()));
    } else if (effect instanceof InstanceEffect.LogChange change) {
      world.checker().event(id + " " + change.text());
    }
  }

  private void startSync() {
    if (!syncing) {
      syncing = true;
      int startedIn = run;
      int writes = disk.unsyncedCount();
      world.clock().after(1 + world.random().nextLong(8 * MILLI), () -> endSync(startedIn, writes));
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
    handle(now -> new InstanceEvent.Replication(new ReplicationEvent.Persisted(now, sequence)));
  }
}
