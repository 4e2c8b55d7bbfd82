package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.ReservedSlots;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.loadcontrol.DemandStatistics;
import io.coltsfootwheel.loadcontrol.SlotReserve;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.RouteKind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates an unkeyed service whose targets differ in speed, with several kinds of requests and
 * many entries, in simulated time. Entries receive the same load estimates every 100 ms. A target
 * resets the connection of a request that its queue cannot hold. Clients do not retry.
 */
final class UnkeyedServiceSimulation {
  static final ServiceName SERVICE = ServiceName.of("s");
  private static final int ENTRIES = 90;
  private static final int ZONES = 4;
  private static final int TARGET_QUEUE_CAPACITY = 8;
  private static final double REPORT_INTERVAL_MILLIS = 100;

  /** Standard deviation of the logarithm of a service time. */
  private static final double SERVICE_TIME_SIGMA = 0.47;

  /** Weight of one response in the average time per request of a target. */
  private static final double AVERAGE_WEIGHT = 0.05;

  record Kind(
      double perSecond,
      double workMillis,
      long objectiveMillis,
      long deadlineMillis,
      int priority) {}

  record Service(int targets, int slots, List<Double> speeds) {}

  /** Counts of the requests of one kind. */
  static final class Outcome {
    int requests;
    int inTime;
    int answered;
    int refused;
    int reset;
    int onFastest;
    int inOwnZone;

    double inTimeRatio() {
      return (double) inTime / requests;
    }

    double answeredRatio() {
      return (double) answered / requests;
    }

    double fastestRatio() {
      return (double) onFastest / answered;
    }

    double ownZoneRatio() {
      return (double) inOwnZone / (requests - refused);
    }
  }

  private record Event(double timeMillis, Runnable action) {}

  private static final class SimulatedTarget {
    private final OwnershipView.Target view;
    private final double speed;
    private final double[] slotFreeMillis;
    private double meanMillis = 120;
    private int inFlight;
    private int received;

    private SimulatedTarget(OwnershipView.Target view, double speed) {
      this.view = view;
      this.speed = speed;
      this.slotFreeMillis = new double[view.slots()];
    }
  }

  private final class Entry {
    private final RoutingState routing = new RoutingState();
    private final PriorityReserve reserve = new PriorityReserve(routing);
    private final AvailabilityZone zone;
    private final TargetChooser chooser;

    private Entry(int number) {
      zone = AvailabilityZone.of("z" + number % ZONES);
      chooser =
          new TargetChooser(
              RandomSource.SPLIT_MIX_64.create(number),
              zone,
              2_000,
              2_000,
              t -> connected.contains(t.id()),
              reserve::slotsAgainst);
    }
  }

  private final Random random;
  private final Service service;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis));
  private final List<Entry> entries = new ArrayList<>();
  private final Map<TargetId, SimulatedTarget> targets = new HashMap<>();
  private final Set<TargetId> connected = new HashSet<>();
  private List<Entry> senders = entries;
  private final DemandStatistics demand = new DemandStatistics();
  private double nowMillis = 10_000;
  private boolean decidesReserves = true;

  UnkeyedServiceSimulation(long seed, Service service) {
    this.random = new Random(seed);
    this.service = service;
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(new Entry(i));
    }
    for (int i = 0; i < service.targets(); i++) {
      addTarget(i);
    }
    publishView();
    schedule(nowMillis, this::report);
  }

  /** Adds a target, which entries know from the next view on. */
  TargetId addTarget(int number) {
    OwnershipView.Target view =
        new OwnershipView.Target(
            TargetId.of("t" + number),
            SERVICE,
            new Address("10.0.0.1", 1_000 + number),
            AvailabilityZone.of("z" + number % ZONES),
            service.slots(),
            TargetPhase.READY,
            1);
    double speed = service.speeds().get(number % service.speeds().size());
    targets.put(view.id(), new SimulatedTarget(view, speed));
    return view.id();
  }

  void publishView() {
    List<OwnershipView.Target> views = targets.values().stream().map(t -> t.view).toList();
    entries.forEach(
        e -> e.routing.updateOwnership(new OwnershipView(views, List.of()), nowNanos()));
  }

  /** Lets the leader publish no reserves, as one of an earlier version. */
  void publishNoReserves() {
    decidesReserves = false;
  }

  /** Lets only entries of the first zone receive requests. */
  void sendFromOneZoneOnly() {
    senders = entries.stream().filter(e -> e.zone.equals(entries.get(0).zone)).toList();
  }

  /** Gives all entries idle connections to the present targets. */
  void connectAllTargets() {
    connected.addAll(targets.keySet());
  }

  /** Returns the requests that a target has received. */
  int received(TargetId target) {
    return targets.get(target).received;
  }

  /**
   * Runs for a time, and returns what became of the requests of each kind whose deadline is within
   * this time.
   */
  List<Outcome> run(double millis, List<Kind> kinds) {
    double endMillis = nowMillis + millis;
    List<Outcome> outcomes = new ArrayList<>();
    for (Kind kind : kinds) {
      Outcome outcome = new Outcome();
      outcomes.add(outcome);
      double t = nowMillis;
      while ((t += -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond()) < endMillis) {
        Entry entry = senders.get(random.nextInt(senders.size()));
        Outcome counted = t < endMillis - kind.deadlineMillis() ? outcome : new Outcome();
        schedule(t, () -> arrive(entry, kind, counted));
      }
    }
    while (!events.isEmpty() && events.peek().timeMillis() < endMillis) {
      Event event = events.poll();
      nowMillis = event.timeMillis();
      event.action().run();
    }
    nowMillis = endMillis;
    return outcomes;
  }

  private void report() {
    Map<TargetId, TargetLoadEstimate> estimates = new HashMap<>();
    targets.forEach(
        (id, t) -> estimates.put(id, new TargetLoadEstimate(t.inFlight, (int) t.meanMillis)));
    for (Entry entry : entries) {
      entry.routing.targets().forEach(TargetStats::takeCompletedCount);
      entry.routing.updateLoadEstimates(nowNanos(), estimates, ENTRIES);
      entry
          .reserve
          .takeReport(nowNanos())
          .forEach(
              d ->
                  demand.add(
                      nowNanos(), d.priority(), d.requests(), d.timedRequests(), d.timedMillis()));
    }
    if (decidesReserves) {
      List<ReservedSlots> reserves = new ArrayList<>();
      SlotReserve.reservedAgainst(
              demand.slotsByPriority(nowNanos()), targets.size() * service.slots())
          .forEach((p, slots) -> reserves.add(new ReservedSlots(SERVICE, p, slots)));
      entries.forEach(e -> e.reserve.update(nowNanos(), reserves));
    }
    schedule(nowMillis + REPORT_INTERVAL_MILLIS, this::report);
  }

  private void arrive(Entry entry, Kind kind, Outcome outcome) {
    outcome.requests++;
    entry.reserve.recordRequest(SERVICE, kind.priority());
    RequestConstraints constraints =
        new RequestConstraints(
            SERVICE,
            RouteKind.SAFE,
            kind.priority(),
            nowNanos(),
            kind.deadlineMillis(),
            kind.objectiveMillis());
    RoutingDecision decision = entry.chooser.chooseAny(entry.routing, Set.of(), constraints);
    if (!(decision instanceof RoutingDecision.Send send)) {
      outcome.refused++;
      return;
    }
    TargetStats stats = send.target();
    SimulatedTarget target = targets.get(stats.spec().id());
    outcome.inOwnZone += target.view.zone().equals(entry.zone) ? 1 : 0;
    boolean hadFreeSlot = stats.hasFreeSlot();
    stats.recordSent();
    if (target.inFlight >= service.slots() + TARGET_QUEUE_CAPACITY) {
      outcome.reset++;
      stats.recordFailure(nowNanos());
      return;
    }
    target.inFlight++;
    target.received++;
    double arrivedMillis = nowMillis;
    schedule(
        serve(target, kind),
        () -> {
          finish(target, stats, kind, outcome, arrivedMillis);
          if (hadFreeSlot) {
            entry.reserve.recordTime(SERVICE, kind.priority(), (long) (nowMillis - arrivedMillis));
          }
        });
  }

  private void finish(
      SimulatedTarget target, TargetStats stats, Kind kind, Outcome outcome, double arrivedMillis) {
    double millis = nowMillis - arrivedMillis;
    target.inFlight--;
    stats.recordResponse();
    outcome.answered += millis <= kind.deadlineMillis() ? 1 : 0;
    outcome.inTime += millis <= kind.objectiveMillis() ? 1 : 0;
    outcome.onFastest +=
        target.speed == service.speeds().stream().mapToDouble(s -> s).max().orElseThrow() ? 1 : 0;
  }

  /** Occupies the slot that is free first, and returns the end of the service. */
  private double serve(SimulatedTarget target, Kind kind) {
    double factor =
        Math.exp(
            random.nextGaussian() * SERVICE_TIME_SIGMA
                - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
    double serviceMillis = kind.workMillis() / target.speed * factor;
    target.meanMillis += AVERAGE_WEIGHT * (serviceMillis - target.meanMillis);
    int first = 0;
    for (int i = 1; i < target.slotFreeMillis.length; i++) {
      first = target.slotFreeMillis[i] < target.slotFreeMillis[first] ? i : first;
    }
    target.slotFreeMillis[first] =
        Math.max(nowMillis, target.slotFreeMillis[first]) + serviceMillis;
    return target.slotFreeMillis[first];
  }

  private long nowNanos() {
    return (long) (nowMillis * 1e6);
  }

  private void schedule(double millis, Runnable action) {
    events.add(new Event(millis, action));
  }
}
