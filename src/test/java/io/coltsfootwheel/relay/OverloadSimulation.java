package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.RouteKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates load on one target that owns all keys, through several entries and in simulated time.
 * Requests arrive at random, the owner serves a few at a time, entries learn each other's load with
 * a delay of up to 100 ms, and a refused client retries once after the given delay.
 */
final class OverloadSimulation {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final TargetId OWNER = TargetId.of("t0");
  private static final int ENTRIES = 10;
  private static final int SLOTS = 2;
  private static final int TARGET_QUEUE_CAPACITY = 8;
  private static final double REPORT_INTERVAL_MILLIS = 100;

  /** Standard deviation of the logarithm of a service time. */
  private static final double SERVICE_TIME_SIGMA = 0.47;

  /** Largest fraction by which a client's timeout is below the deadline of its request type. */
  private static final double DEADLINE_SPREAD = 0.15;

  /** Longest delay of a retry, as a fraction of the client's remaining time. */
  private static final double MAX_RETRY_DELAY_RATIO = 1 / 3.0;

  private record RequestType(
      String route,
      int priority,
      double serviceMillis,
      long objectiveMillis,
      long deadlineMillis,
      double frequency,
      double value) {}

  private static final List<RequestType> REQUEST_TYPES =
      List.of(
          new RequestType("lookup", 2, 120, 400, 1_000, 0.74, 1),
          new RequestType("debit", 1, 160, 500, 1_200, 0.26, 2));

  /** Fraction of its value that a request achieves if it is answered after its objective. */
  private static final double LATE_VALUE_RATIO = 0.3;

  private record Event(double timeMillis, Runnable action) {}

  private static final class Attempt {
    private final RequestType type;
    private final double arrivalMillis;
    private final double deadlineMillis;
    private int entry;
    private boolean isRetry;

    private Attempt(RequestType type, double arrivalMillis, double timeoutMillis) {
      this.type = type;
      this.arrivalMillis = arrivalMillis;
      this.deadlineMillis = arrivalMillis + timeoutMillis;
    }
  }

  private static final class Entry {
    private final RoutingState routing = new RoutingState();
    private final ClientDeadlineTracker deadlineTracker = new ClientDeadlineTracker();
    private final TargetChooser chooser =
        new TargetChooser(RandomSource.SPLIT_MIX_64.create(1), AvailabilityZone.of("z0"), 2_000);
    private int reportedInFlight;

    private TargetStats owner() {
      return routing.target(OWNER).orElseThrow();
    }
  }

  /**
   * Outcome of a simulation.
   *
   * @param inTime requests answered within the objective
   * @param late requests answered between objective and deadline
   * @param refused requests whose retry was refused too
   * @param unanswered requests not answered by the deadline
   * @param valueRatio achieved fraction of the value of all requests
   */
  record Outcome(int inTime, int late, int refused, int unanswered, double valueRatio) {}

  private final Random random;
  private final double serviceTimeFactor;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis));
  private final List<Entry> entries = new ArrayList<>();
  private final Deque<Attempt> queue = new ArrayDeque<>();
  private int busySlots;
  private double nowMillis = 1_000;
  private int inTime;
  private int late;
  private int refused;
  private int unanswered;
  private double totalValue;
  private double achievedValue;

  /**
   * Creates a simulation.
   *
   * @param seed seed of arrivals and service times
   * @param serviceTimeFactor factor on the service time of each request
   */
  OverloadSimulation(long seed, double serviceTimeFactor) {
    this.random = new Random(seed);
    this.serviceTimeFactor = serviceTimeFactor;
    OwnershipView.Target owner =
        new OwnershipView.Target(
            OWNER,
            SERVICE,
            new Address("10.0.0.1", 1_000),
            AvailabilityZone.of("z0"),
            SLOTS,
            TargetPhase.READY,
            1);
    OwnershipView.Range all = new OwnershipView.Range(SERVICE, KeyRange.ALL, OWNER, true, 0);
    for (int i = 0; i < ENTRIES; i++) {
      Entry entry = new Entry();
      entry.routing.updateOwnership(new OwnershipView(List.of(owner), List.of(all)), 0);
      entries.add(entry);
      double firstReportMillis = nowMillis + REPORT_INTERVAL_MILLIS * i / ENTRIES;
      schedule(firstReportMillis, () -> report(entry));
    }
  }

  /**
   * Runs the simulation.
   *
   * @param millis time during which new requests arrive
   * @param utilisation offered load relative to the capacity of the owner
   * @return the outcome
   */
  Outcome run(double millis, double utilisation) {
    double endMillis = nowMillis + millis;
    double arrivalsPerMillis = utilisation * SLOTS / meanServiceMillis();
    double nextArrivalMillis = nowMillis;
    while (nextArrivalMillis < endMillis) {
      nextArrivalMillis += -Math.log(1 - random.nextDouble()) / arrivalsPerMillis;
      RequestType type =
          random.nextDouble() < REQUEST_TYPES.get(0).frequency()
              ? REQUEST_TYPES.get(0)
              : REQUEST_TYPES.get(1);
      double timeoutMillis = type.deadlineMillis() * (1 - DEADLINE_SPREAD * random.nextDouble());
      Attempt attempt = new Attempt(type, nextArrivalMillis, timeoutMillis);
      totalValue += type.value();
      schedule(nextArrivalMillis, () -> arrive(attempt));
    }
    while (!events.isEmpty() && events.peek().timeMillis() < endMillis + 2_000) {
      Event event = events.poll();
      nowMillis = event.timeMillis();
      event.action().run();
    }
    return new Outcome(inTime, late, refused, unanswered, achievedValue / totalValue);
  }

  private double meanServiceMillis() {
    return serviceTimeFactor
        * REQUEST_TYPES.stream().mapToDouble(t -> t.frequency() * t.serviceMillis()).sum();
  }

  private void schedule(double millis, Runnable action) {
    events.add(new Event(millis, action));
  }

  private void report(Entry entry) {
    entry.owner().takeCompletedCount();
    entry.reportedInFlight = entry.owner().inFlight();
    int inFlight = entries.stream().mapToInt(e -> e.reportedInFlight).sum();
    TargetLoadEstimate loadEstimate = new TargetLoadEstimate(inFlight, (int) meanServiceMillis());
    entry.routing.updateLoadEstimates(
        (long) (nowMillis * 1e6), Map.of(OWNER, loadEstimate), ENTRIES);
    schedule(nowMillis + REPORT_INTERVAL_MILLIS, () -> report(entry));
  }

  private void arrive(Attempt attempt) {
    attempt.entry = random.nextInt(ENTRIES);
    Entry entry = entries.get(attempt.entry);
    RoutingDecision decision =
        entry.chooser.chooseOwner(entry.routing, 5, constraints(entry, attempt));
    if (decision instanceof RoutingDecision.Refuse refusal) {
      refuse(attempt, refusal.retryAfterMillis());
    } else if (queue.size() + busySlots >= SLOTS + TARGET_QUEUE_CAPACITY) {
      refuse(attempt, (long) meanServiceMillis());
    } else {
      entry.owner().recordSent();
      queue.add(attempt);
      startService();
    }
  }

  private RequestConstraints constraints(Entry entry, Attempt attempt) {
    RequestType type = attempt.type;
    long nowNanos = (long) (nowMillis * 1e6);
    long remainingMillis = (long) (attempt.deadlineMillis - nowMillis);
    long waitedMillis =
        entry.deadlineTracker.waitedMillis(
            nowNanos, type.route(), OptionalLong.of(remainingMillis));
    return new RequestConstraints(
        SERVICE,
        RouteKind.SAFE,
        type.priority(),
        nowNanos,
        remainingMillis,
        type.objectiveMillis() - waitedMillis);
  }

  private void refuse(Attempt attempt, long retryAfterMillis) {
    if (attempt.isRetry) {
      refused++;
      return;
    }
    attempt.isRetry = true;
    double remainingMillis = attempt.deadlineMillis - nowMillis;
    double delayMillis = Math.min(retryAfterMillis, MAX_RETRY_DELAY_RATIO * remainingMillis);
    schedule(nowMillis + delayMillis, () -> arrive(attempt));
  }

  private void startService() {
    while (busySlots < SLOTS && !queue.isEmpty()) {
      Attempt attempt = queue.poll();
      busySlots++;
      double endMillis = nowMillis + serviceMillis(attempt.type);
      boolean answered = endMillis <= attempt.deadlineMillis;
      schedule(
          Math.max(nowMillis, Math.min(endMillis, attempt.deadlineMillis)),
          () -> finish(attempt, answered));
    }
  }

  private double serviceMillis(RequestType type) {
    double factor =
        Math.exp(
            random.nextGaussian() * SERVICE_TIME_SIGMA
                - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2);
    return type.serviceMillis() * serviceTimeFactor * factor;
  }

  private void finish(Attempt attempt, boolean answered) {
    busySlots--;
    TargetStats owner = entries.get(attempt.entry).owner();
    boolean objectiveMet = nowMillis - attempt.arrivalMillis <= attempt.type.objectiveMillis();
    if (answered) {
      owner.recordResponse();
      achievedValue += attempt.type.value() * (objectiveMet ? 1 : LATE_VALUE_RATIO);
      inTime += objectiveMet ? 1 : 0;
      late += objectiveMet ? 0 : 1;
    } else {
      owner.recordCancellation();
      unanswered++;
    }
    startService();
  }
}
