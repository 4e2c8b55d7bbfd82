package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.keyspace.TargetCallResult.Outcome;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** Simulates targets that report to a leader and hold the keys that it grants, with its log. */
final class OwnershipSimulation {
  private static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final ServiceName UNKNOWN = ServiceName.of("unknown");
  private static final double COLD_REQUESTS_PER_SECOND = 3.7;
  private static final long STEP_MILLIS = 10;
  private static final int REPORT_INTERVAL_MILLIS = 870;
  private static final int SLOTS = 2;
  private static final int ZONES = 4;
  private static final int REPORTS_PER_SECOND = 10;
  private static final double SLOWEST_CLOCK_RATE = 0.98;

  private final Random random;
  private final GrantMethod grantMethod;
  private final OwnershipSettings settings = OwnershipSettings.of(REPORT_INTERVAL_MILLIS, 10_000);
  private final Map<TargetId, SimulatedTarget> targets = new LinkedHashMap<>();
  private final TreeMap<Long, List<Runnable>> scheduledTasks = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private IntToDoubleFunction requestsPerSecondByKey = key -> 0;
  private ToDoubleFunction<TargetId> secondsPerRequest = target -> 0.12;
  private FleetState state;
  private long index = 1;
  private long nowMillis = 1_000;
  private int nextTargetNumber;
  private int holdingChanges;
  private final AssignmentCounts assignments = new AssignmentCounts();
  private boolean faults;
  private long warmupMillis;
  private OwnershipLeader leader;
  private boolean awaitsConfirmation;

  /** A target with the ranges that its current incarnation holds. */
  private final class SimulatedTarget {
    private CalledTargetHoldings holdings;
    private final TargetId id;
    private final int port;
    private long incarnationMillis;
    private long sequence;
    private long awaitedSequence;
    private boolean running = true;
    private boolean replaced;
    private TargetPhase phase = TargetPhase.READY;
    private long holdsUntilMillis;
    private long nextReportMillis;
    private long coldUntilMillis;
    private Map<KeyRange, Long> held = new HashMap<>();
    private List<ReleasedRange> released = new ArrayList<>();

    private SimulatedTarget(TargetId id, int port) {
      this.id = id;
      this.holdings = new CalledTargetHoldings(id);
      this.port = port;
      this.incarnationMillis = nowMillis;
      this.coldUntilMillis = nowMillis + warmupMillis;
      this.nextReportMillis = nowMillis + random.nextInt(REPORT_INTERVAL_MILLIS);
    }

    private boolean holds(int key) {
      return heldRanges().stream().anyMatch(r -> r.contains(key));
    }

    private List<KeyRange> heldRanges() {
      if (!running) {
        return List.of();
      }
      if (grantMethod == GrantMethod.CALL) {
        return holdings.held(nowMillis);
      }
      return nowMillis < holdsUntilMillis ? List.copyOf(held.keySet()) : List.of();
    }

    private HeartbeatReport report() {
      List<HeldRange> heldRanges = new ArrayList<>();
      if (nowMillis < holdsUntilMillis) {
        held.forEach((r, f) -> heldRanges.add(new HeldRange(r, Fence.of(f))));
      }
      TargetRecord self = recordAt(port, id, incarnationMillis, LEDGER, phase);
      long leftMillis = Math.max(0, coldUntilMillis - nowMillis);
      return new HeartbeatReport(self, ++sequence, leftMillis, heldRanges, List.copyOf(released));
    }

    private void send() {
      HeartbeatReport report = report();
      long sentMillis = nowMillis;
      long sentIncarnation = incarnationMillis;
      awaitedSequence = report.sequence();
      nextReportMillis = nowMillis + REPORT_INTERVAL_MILLIS + random.nextInt(40) - 20;
      boolean lost = faults && random.nextInt(12) == 0;
      boolean delayed = faults && random.nextInt(20) == 0;
      long delayMillis = delayed ? 300 + random.nextInt(2_500) : 1 + random.nextInt(3);
      if (!lost) {
        schedule(nowMillis + delayMillis, () -> deliver(this, report, sentMillis, sentIncarnation));
      }
    }

    /** Releases the parts of a held range that an answer omits, each with a token of its own. */
    private void release(KeyRange range, LeaseGrant grant) {
      RangeTable remaining = RangeTable.of(List.of(new OwnedRange(range, id, Fence.of(1), "")));
      for (OwnedRange kept : grant.ranges()) {
        remaining = remaining.withoutRange(kept.range());
      }
      for (OwnedRange part : remaining.ranges()) {
        released.add(new ReleasedRange(part.range(), "token-" + part.range()));
        nextReportMillis = Math.min(nextReportMillis, nowMillis + 100);
      }
    }

    private void receiveAnswer(
        long sentIncarnation, long answeredSequence, LeaseGrant grant, long sentMillis) {
      boolean isAwaited =
          running
              && sentIncarnation == incarnationMillis
              && answeredSequence == awaitedSequence
              && nowMillis - sentMillis < 1_000;
      if (!isAwaited) {
        return;
      }
      released.clear();
      Map<KeyRange, Long> next = new HashMap<>();
      held.keySet().forEach(range -> release(range, grant));
      grant.ranges().forEach(r -> next.put(r.range(), r.fence().value()));
      if (!next.keySet().equals(held.keySet())) {
        holdingChanges++;
      }
      held = next;
      holdsUntilMillis = sentMillis + (long) (grant.holdMillis() / SLOWEST_CLOCK_RATE);
    }
  }

  OwnershipSimulation(long seed) {
    this(seed, GrantMethod.HEARTBEAT);
  }

  OwnershipSimulation(long seed, GrantMethod grantMethod) {
    this.grantMethod = grantMethod;
    random = new Random(seed);
    state = InitialStates.withService(LEDGER, grantMethod, COLD_REQUESTS_PER_SECOND);
    electLeader();
  }

  void start(int count) {
    IntStream.range(0, count).forEach(i -> add());
  }

  void add() {
    addAt(1_001 + nextTargetNumber);
  }

  /** Sets the time for which targets are cold that start from now on. */
  void setWarmupMillis(long newWarmupMillis) {
    warmupMillis = newWarmupMillis;
  }

  /** Restarts a target in a new incarnation, which still owns its ranges. */
  void restart(TargetId target) {
    restart(targets.get(target));
  }

  private void addAt(int port) {
    TargetId id = TargetId.of("t" + nextTargetNumber++);
    targets.put(id, new SimulatedTarget(id, port));
  }

  private static TargetRecord recordAt(
      int port, TargetId id, long incarnationMillis, ServiceName service, TargetPhase phase) {
    return new TargetRecord(
        id, incarnationMillis, service, new Address("10.0.0.1", port), zone(id), SLOTS, phase);
  }

  private static AvailabilityZone zone(TargetId id) {
    return AvailabilityZone.of("z" + Math.floorMod(id.hashCode(), ZONES));
  }

  /** Proposes the start or the end of the evacuation of a zone. */
  void setEvacuation(AvailabilityZone zone, boolean evacuated) {
    propose(new FleetCommand.SetZoneEvacuation(zone, evacuated));
  }

  /** Returns the number of targets in a zone that hold keys. */
  long holdersIn(AvailabilityZone zone) {
    return targets.values().stream()
        .filter(t -> zone(t.id).equals(zone) && !t.heldRanges().isEmpty())
        .count();
  }

  void setLoad(IntToDoubleFunction loadByKey) {
    requestsPerSecondByKey = loadByKey;
  }

  /** Sets the time that each target takes for a request. */
  void setSecondsPerRequest(ToDoubleFunction<TargetId> newSecondsPerRequest) {
    secondsPerRequest = newSecondsPerRequest;
  }

  /** Returns the share of the slots of each target that the load occupies. */
  Map<TargetId, Double> utilisation() {
    Map<TargetId, Double> utilisation = new HashMap<>();
    for (SimulatedTarget target : targets.values()) {
      double requestsPerSecond = 0;
      for (int key = 0; key <= KeyRange.MAX_KEY; key++) {
        requestsPerSecond += target.holds(key) ? requestsPerSecondByKey.applyAsDouble(key) : 0;
      }
      double busySlots = requestsPerSecond * secondsPerRequest.applyAsDouble(target.id);
      utilisation.put(target.id, busySlots / SLOTS);
    }
    return utilisation;
  }

  void runWithoutFaults(long millis) {
    faults = false;
    run(millis);
  }

  void runWithFaults(long millis) {
    faults = true;
    run(millis);
    faults = false;
  }

  List<String> violations() {
    return violations;
  }

  int holdingChanges() {
    return holdingChanges;
  }

  long holders() {
    return targets.values().stream().filter(t -> !t.heldRanges().isEmpty()).count();
  }

  int heldKeys() {
    return (int)
        IntStream.rangeClosed(0, KeyRange.MAX_KEY)
            .filter(key -> targets.values().stream().anyMatch(t -> t.holds(key)))
            .count();
  }

  Map<TargetId, Double> shares(KeyRange range) {
    Map<TargetId, Double> shares = new HashMap<>();
    for (int key = range.from(); key <= range.to(); key++) {
      for (SimulatedTarget target : targets.values()) {
        if (target.holds(key)) {
          shares.merge(target.id, 1.0 / range.width(), Double::sum);
        }
      }
    }
    return shares;
  }

  /** Returns what the assignments have cost. */
  AssignmentCounts assignments() {
    return assignments;
  }

  /** Returns the number of ranges of the target that owns the most ranges. */
  int maxRangesPerTarget() {
    return targets.keySet().stream()
        .mapToInt(t -> state.table(LEDGER).rangesOf(t).size())
        .max()
        .orElse(0);
  }

  OwnershipView view() {
    return leader.view(nanos());
  }

  /** Describes targets, owners and moves, for the message of a failed assertion. */
  String describe() {
    StringBuilder text = new StringBuilder();
    targets
        .values()
        .forEach(
            t ->
                text.append(t.id)
                    .append(t.running ? " " : " stopped ")
                    .append(t.phase)
                    .append(" until ")
                    .append(t.holdsUntilMillis - nowMillis)
                    .append(" holds ")
                    .append(t.heldRanges())
                    .append(" owns ")
                    .append(
                        state.table(LEDGER).rangesOf(t.id).stream().map(OwnedRange::range).toList())
                    .append('\n'));
    text.append("moves ").append(leader.moves()).append('\n');
    return text.append("gaps ").append(state.table(LEDGER).gaps()).toString();
  }

  /** Delivers a report with an outdated sequence number and returns whether it is accepted. */
  boolean isOldReportAccepted() {
    SimulatedTarget target = targets.values().iterator().next();
    HeartbeatReport current = target.report();
    HeartbeatReport outdated =
        new HeartbeatReport(
            current.target(),
            current.sequence() - 2,
            0,
            current.heldRanges(),
            current.releasedRanges());
    return leader.report(nanos(), outdated).verdict() == OwnershipLeader.ReportVerdict.CURRENT;
  }

  private void run(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      runScheduledTasks();
      for (SimulatedTarget target : List.copyOf(targets.values())) {
        if (target.running && nowMillis >= target.nextReportMillis) {
          target.send();
        }
      }
      if (nowMillis % 100 == 0) {
        reportLoad();
      }
      if (faults) {
        injectFault();
      }
      leader.tick(nanos()).forEach(this::propose);
      confirmCalls();
      checkExclusiveOwnership();
    }
  }

  private void runScheduledTasks() {
    while (!scheduledTasks.isEmpty() && scheduledTasks.firstKey() <= nowMillis) {
      scheduledTasks.pollFirstEntry().getValue().forEach(Runnable::run);
    }
  }

  private void schedule(long millis, Runnable task) {
    scheduledTasks.computeIfAbsent(millis, m -> new ArrayList<>()).add(task);
  }

  private void deliver(
      SimulatedTarget target, HeartbeatReport report, long sentMillis, long sentIncarnation) {
    OwnershipLeader receiver = leader;
    OwnershipLeader.ReportOutcome outcome = receiver.report(nanos(), report);
    outcome.commands().forEach(this::propose);
    if (outcome.verdict() != OwnershipLeader.ReportVerdict.CURRENT) {
      return;
    }
    schedule(
        nowMillis + 10 + random.nextInt(20),
        () -> grant(receiver, target, report, sentMillis, sentIncarnation));
  }

  private void grant(
      OwnershipLeader receiver,
      SimulatedTarget target,
      HeartbeatReport report,
      long sentMillis,
      long sentIncarnation) {
    if (receiver != leader) {
      return;
    }
    Optional<LeaseGrant> grant = leader.grant(nanos(), target.id, sentIncarnation);
    boolean lost = faults && random.nextInt(12) == 0;
    long delayMillis = faults && random.nextInt(15) == 0 ? random.nextInt(1_200) : 1;
    if (grant.isPresent() && !lost) {
      schedule(
          nowMillis + delayMillis,
          () -> target.receiveAnswer(sentIncarnation, report.sequence(), grant.get(), sentMillis));
    }
  }

  /** Sends the due calls after a quorum round, unless the leader has changed meanwhile. */
  private void confirmCalls() {
    if (awaitsConfirmation || !leader.hasDueCalls(nanos())) {
      return;
    }
    awaitsConfirmation = true;
    OwnershipLeader caller = leader;
    long delayMillis = 10 + random.nextInt(faults ? 290 : 20);
    schedule(
        nowMillis + delayMillis,
        () -> {
          if (caller == leader) {
            awaitsConfirmation = false;
            leader.takeDueCalls(nanos()).forEach(c -> send(caller, c));
          }
        });
  }

  /** Delivers a call; with faults it or its answer may be lost, or it is carried out late. */
  private void send(OwnershipLeader caller, TargetCall call) {
    long limitMillis = call.endNanos() / 1_000_000;
    int fault = faults ? random.nextInt(20) : 20;
    if (fault == 0) {
      endAt(limitMillis, caller, call, TargetCallResult.of(Outcome.NOT_DELIVERED));
      return;
    }
    long maxDelayMillis = fault < 4 ? limitMillis - nowMillis : 3;
    long arrivalMillis = nowMillis + 1 + random.nextInt((int) Math.max(1, maxDelayMillis - 1));
    long appliedMillis = fault == 1 ? arrivalMillis + random.nextInt(12_000) : arrivalMillis;
    boolean isAnswered = fault > 2;
    schedule(appliedMillis, () -> carryOut(caller, call, arrivalMillis, isAnswered));
    if (!isAnswered) {
      endAt(limitMillis, caller, call, TargetCallResult.of(Outcome.UNKNOWN));
    }
  }

  private void carryOut(
      OwnershipLeader caller, TargetCall call, long arrivalMillis, boolean isAnswered) {
    SimulatedTarget target = targets.get(call.target());
    CalledTargetHoldings holdings = target.holdings;
    TargetCallResult result;
    long workMillis = 0;
    if (!target.running) {
      result = TargetCallResult.of(Outcome.NOT_DELIVERED);
    } else if (call instanceof TargetCall.Grant grant) {
      boolean accepted = holdings.grant(grant, arrivalMillis);
      result = TargetCallResult.of(accepted ? Outcome.DONE : Outcome.FENCE_TOO_LOW);
    } else {
      // The running requests of the range end first.
      workMillis = random.nextInt(300);
      schedule(nowMillis + workMillis, () -> holdings.release(call.range()));
      result = new TargetCallResult(Outcome.DONE, "token-" + call.range());
    }
    if (isAnswered) {
      endAt(nowMillis + workMillis + 1, caller, call, result);
    }
  }

  private void endAt(
      long millis, OwnershipLeader caller, TargetCall call, TargetCallResult result) {
    schedule(
        Math.max(millis, nowMillis + 1),
        () -> {
          if (caller == leader) {
            caller.callCompleted(nanos(), call, result).forEach(this::propose);
          }
        });
  }

  private void propose(FleetCommand command) {
    OwnershipLeader proposer = leader;
    byte[] bytes = ControlCodec.encode(command);
    schedule(
        nowMillis + 10 + random.nextInt(10),
        () -> {
          if (proposer == leader) {
            index++;
            FleetCommand decoded = ControlCodec.decode(bytes, FleetCommand.class);
            assignments.add(decoded);
            state = state.apply(index, decoded);
            leader.applied(decoded, state);
          }
        });
  }

  private void reportLoad() {
    Map<Integer, Integer> counts = new HashMap<>();
    for (int key = 0; key <= KeyRange.MAX_KEY; key += 1) {
      double expected = requestsPerSecondByKey.applyAsDouble(key) / REPORTS_PER_SECOND;
      if (expected > 0 && random.nextDouble() < expected) {
        counts.put(key, 1);
      }
    }
    List<LoadReport.TargetObservation> observations =
        targets.values().stream().map(t -> observe(t, counts)).toList();
    leader.recordLoad(
        nanos(), InstanceId.of("e1"), new LoadReport(Map.of(LEDGER, counts), observations));
  }

  /** Returns an entry's observation of a target, which completes no more than its slots allow. */
  private LoadReport.TargetObservation observe(
      SimulatedTarget target, Map<Integer, Integer> requestsByKey) {
    int arrivals =
        requestsByKey.entrySet().stream()
            .filter(e -> target.holds(e.getKey()))
            .mapToInt(Map.Entry::getValue)
            .sum();
    double seconds = secondsPerRequest.applyAsDouble(target.id);
    double busySlots = arrivals * REPORTS_PER_SECOND * seconds;
    int inFlight = (int) (busySlots + random.nextDouble());
    double maxCompleted = SLOTS / seconds / REPORTS_PER_SECOND;
    int completed = (int) Math.min(arrivals, maxCompleted + random.nextDouble());
    return new LoadReport.TargetObservation(target.id, inFlight, completed);
  }

  private void injectFault() {
    int fault = random.nextInt(400);
    SimulatedTarget chosen = List.copyOf(targets.values()).get(random.nextInt(targets.size()));
    if (fault == 0) {
      chosen.running = false;
      int downtimeMillis = random.nextInt(6_000);
      schedule(nowMillis + downtimeMillis, () -> restart(chosen));
    } else if (fault == 1) {
      chosen.phase = chosen.phase == TargetPhase.READY ? TargetPhase.DRAINING : chosen.phase;
      schedule(nowMillis + 4_000, () -> restart(chosen));
    } else if (fault == 2) {
      electLeader();
    } else if (fault == 3) {
      chosen.nextReportMillis = nowMillis + random.nextInt(5_000);
    } else if (fault == 4 && targets.size() < 14) {
      add();
    } else if (fault == 5) {
      reportOfUnknownService(chosen);
    } else if (fault == 6 && !chosen.replaced && targets.size() < 24) {
      replace(chosen);
    }
  }

  /** Delivers a report that names the address, or also the identifier, of a target. */
  private void reportOfUnknownService(SimulatedTarget target) {
    TargetId id = random.nextBoolean() ? target.id : TargetId.of("other-" + nowMillis);
    TargetRecord other = recordAt(target.port, id, nowMillis, UNKNOWN, TargetPhase.READY);
    HeartbeatReport report = new HeartbeatReport(other, 1, 0, List.of(), List.of());
    leader.report(nanos(), report).commands().forEach(this::propose);
  }

  /** Starts another target at the address of a target, which runs on until after its lease. */
  private void replace(SimulatedTarget target) {
    target.replaced = true;
    addAt(target.port);
    schedule(nowMillis + 4_000, () -> target.running = false);
  }

  private void restart(SimulatedTarget target) {
    if (target.replaced) {
      return;
    }
    target.running = true;
    target.incarnationMillis = nowMillis;
    target.coldUntilMillis = nowMillis + warmupMillis;
    target.sequence = 0;
    target.phase = TargetPhase.READY;
    target.held = new HashMap<>();
    target.holdings = new CalledTargetHoldings(target.id);
    target.released = new ArrayList<>();
    target.holdsUntilMillis = 0;
    target.nextReportMillis = nowMillis + random.nextInt(200);
  }

  void electLeader() {
    awaitsConfirmation = false;
    leader = new OwnershipLeader(settings, state, nanos());
  }

  private void checkExclusiveOwnership() {
    List<SimulatedTarget> holders =
        targets.values().stream().filter(t -> !t.heldRanges().isEmpty()).toList();
    for (int i = 0; i < holders.size(); i++) {
      for (int j = i + 1; j < holders.size(); j++) {
        recordOverlaps(holders.get(i), holders.get(j));
      }
    }
  }

  private void recordOverlaps(SimulatedTarget one, SimulatedTarget other) {
    for (KeyRange a : one.heldRanges()) {
      other.heldRanges().stream()
          .filter(a::overlaps)
          .map(b -> nowMillis + ": " + one.id + " " + a + " and " + other.id + " " + b)
          .forEach(violations::add);
    }
  }

  private long nanos() {
    return nowMillis * 1_000_000;
  }
}
