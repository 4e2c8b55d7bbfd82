package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
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
 * Simulates an unkeyed service with many entries, in simulated time. Load estimates come every 100
 * ms while there is a leader. A target queues a few requests and rejects further ones; a rejected
 * request is sent to one other target.
 */
final class LeaderOutageSimulation {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final int ENTRIES = 62;
  private static final int TARGETS = 24;
  private static final int ZONES = 3;
  private static final int SLOTS = 2;
  private static final int TARGET_QUEUE_CAPACITY = 8;
  private static final int MAX_ATTEMPTS = 2;
  private static final double MEAN_SERVICE_MILLIS = 80;
  private static final double REPORT_INTERVAL_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 1_000;
  private static final long OBJECTIVE_MILLIS = 400;

  private record Event(double timeMillis, Runnable action) {}

  private static final class Entry {
    private final RoutingState routing = new RoutingState();
    private final TargetChooser chooser;

    private Entry(int number) {
      chooser =
          new TargetChooser(
              RandomSource.SPLIT_MIX_64.create(number),
              AvailabilityZone.of("z" + number % ZONES),
              2_000);
    }
  }

  /**
   * Outcome of a simulation.
   *
   * @param answered requests answered before the deadline
   * @param refused requests refused by an entry or rejected by each target that was tried
   */
  record Outcome(int answered, int refused) {
    double refusedRatio() {
      return (double) refused / (answered + refused);
    }
  }

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis));
  private final List<Entry> entries = new ArrayList<>();
  private final Map<TargetId, Integer> queued = new HashMap<>();
  private final Map<TargetId, double[]> slotFreeMillis = new HashMap<>();
  private double nowMillis = 10_000;
  private boolean hasLeader = true;
  private int answered;
  private int refused;

  LeaderOutageSimulation(long seed) {
    random = new Random(seed);
    List<OwnershipView.Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      TargetId id = TargetId.of("t" + i);
      queued.put(id, 0);
      slotFreeMillis.put(id, new double[SLOTS]);
      targets.add(
          new OwnershipView.Target(
              id,
              SERVICE,
              new Address("10.0.0.1", 1_000 + i),
              AvailabilityZone.of("z" + i % ZONES),
              SLOTS,
              TargetPhase.READY,
              1));
    }
    for (int i = 0; i < ENTRIES; i++) {
      Entry entry = new Entry(i);
      entry.routing.updateOwnership(new OwnershipView(targets, List.of()), nowNanos());
      entries.add(entry);
    }
    schedule(nowMillis, this::report);
  }

  /** Runs with or without a leader, and returns what became of the requests of this time. */
  Outcome run(double millis, double utilisation, boolean withLeader) {
    hasLeader = withLeader;
    answered = 0;
    refused = 0;
    double endMillis = nowMillis + millis;
    double arrivalsPerMillis = utilisation * SLOTS * TARGETS / MEAN_SERVICE_MILLIS;
    for (double t = nowMillis;
        t < endMillis;
        t += -Math.log(1 - random.nextDouble()) / arrivalsPerMillis) {
      Entry entry = entries.get(random.nextInt(ENTRIES));
      double arrivalMillis = t;
      schedule(t, () -> attempt(entry, new HashSet<>(), arrivalMillis));
    }
    while (!events.isEmpty() && events.peek().timeMillis() < endMillis) {
      Event event = events.poll();
      nowMillis = event.timeMillis();
      event.action().run();
    }
    nowMillis = endMillis;
    return new Outcome(answered, refused);
  }

  private void report() {
    Map<TargetId, TargetLoadEstimate> estimates = new HashMap<>();
    for (Entry entry : entries) {
      for (TargetStats target : entry.routing.targets()) {
        target.takeCompletedCount();
      }
    }
    queued.forEach(
        (id, requests) ->
            estimates.put(id, new TargetLoadEstimate(requests, (int) MEAN_SERVICE_MILLIS)));
    if (hasLeader) {
      entries.forEach(e -> e.routing.updateLoadEstimates(nowNanos(), estimates, ENTRIES));
    }
    schedule(nowMillis + REPORT_INTERVAL_MILLIS, this::report);
  }

  private void attempt(Entry entry, Set<TargetId> tried, double arrivalMillis) {
    long elapsedMillis = (long) (nowMillis - arrivalMillis);
    RequestConstraints constraints =
        new RequestConstraints(
            SERVICE,
            RouteKind.SAFE,
            1,
            nowNanos(),
            DEADLINE_MILLIS - elapsedMillis,
            OBJECTIVE_MILLIS - elapsedMillis);
    RoutingDecision decision = entry.chooser.chooseAny(entry.routing, tried, constraints);
    if (!(decision instanceof RoutingDecision.Send send)) {
      refused++;
      return;
    }
    TargetStats target = send.target();
    TargetId id = target.spec().id();
    tried.add(id);
    target.recordSent();
    if (queued.get(id) >= SLOTS + TARGET_QUEUE_CAPACITY) {
      target.recordRejection();
      if (tried.size() < MAX_ATTEMPTS) {
        attempt(entry, tried, arrivalMillis);
      } else {
        refused++;
      }
      return;
    }
    queued.merge(id, 1, Integer::sum);
    double endMillis = serve(id);
    schedule(
        endMillis,
        () -> {
          queued.merge(id, -1, Integer::sum);
          target.recordResponse();
          answered++;
        });
  }

  /** Occupies the slot that is free first, and returns the end of the service. */
  private double serve(TargetId id) {
    double[] slots = slotFreeMillis.get(id);
    int first = slots[0] <= slots[1] ? 0 : 1;
    double serviceMillis = MEAN_SERVICE_MILLIS * (0.5 + random.nextDouble());
    slots[first] = Math.max(nowMillis, slots[first]) + serviceMillis;
    return slots[first];
  }

  private long nowNanos() {
    return (long) (nowMillis * 1e6);
  }

  private void schedule(double millis, Runnable action) {
    events.add(new Event(millis, action));
  }
}
