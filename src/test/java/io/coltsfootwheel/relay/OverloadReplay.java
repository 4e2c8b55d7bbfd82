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
 * Replays a load on the owner of some keys through several entries, in simulated time: requests
 * arrive by chance, the owner serves a few at a time, entries know each other's load 100 ms late,
 * and a refused client comes back once when it was told to.
 */
final class OverloadReplay {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final TargetId OWNER = TargetId.of("t0");
  private static final int ENTRIES = 10;
  private static final int SLOTS = 2;
  private static final int TARGET_QUEUE = 8;
  private static final double REPORT_MILLIS = 100;

  /** Standard deviation of the logarithm of the time that a request takes. */
  private static final double SPREAD = 0.47;

  /** Part of the deadline of its kind by which a client may wait less. */
  private static final double DEADLINE_SPREAD = 0.15;

  /** A client waits at most this part of its remaining time before it comes back. */
  private static final double LONGEST_PAUSE_SHARE = 1 / 3.0;

  /** Kind of request. */
  private record Kind(
      String route,
      int priority,
      double workMillis,
      long objectiveMillis,
      long deadlineMillis,
      double share,
      double worth) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind("lookup", 2, 120, 400, 1_000, 0.74, 1),
          new Kind("debit", 1, 160, 500, 1_200, 0.26, 2));

  /** Part of the worth of a request that is answered after its objective. */
  private static final double LATE_WORTH = 0.3;

  private record Event(double atMillis, Runnable action) {}

  private static final class Attempt {
    private final Kind kind;
    private final double firstMillis;
    private final double deadlineMillis;
    private int entry;
    private boolean returned;

    private Attempt(Kind kind, double firstMillis, double waitsMillis) {
      this.kind = kind;
      this.firstMillis = firstMillis;
      this.deadlineMillis = firstMillis + waitsMillis;
    }
  }

  private static final class Entry {
    private final FleetRouting routing = new FleetRouting();
    private final ClientDeadlines deadlines = new ClientDeadlines();
    private final TargetChooser chooser =
        new TargetChooser(RandomSource.SPLIT_MIX_64.create(1), AvailabilityZone.of("z0"), 2_000);
    private int reportedInFlight;

    private TargetStats owner() {
      return routing.target(OWNER).orElseThrow();
    }
  }

  /**
   * What came of the requests.
   *
   * @param inTime answered within the objective
   * @param late answered later
   * @param refused refused to the end
   * @param unanswered not answered at the deadline
   * @param worth share of the worth of all requests that was earned
   */
  record Outcome(int inTime, int late, int refused, int unanswered, double worth) {}

  private final Random random;
  private final double slowness;
  private final PriorityQueue<Event> agenda =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
  private final List<Entry> entries = new ArrayList<>();
  private final Deque<Attempt> queue = new ArrayDeque<>();
  private int busySlots;
  private double nowMillis = 1_000;
  private int inTime;
  private int late;
  private int refused;
  private int unanswered;
  private double owed;
  private double earned;

  /**
   * Makes a replay.
   *
   * @param seed seed of arrivals and times
   * @param slowness factor on the time of each request at this owner
   */
  OverloadReplay(long seed, double slowness) {
    this.random = new Random(seed);
    this.slowness = slowness;
    OwnershipView.Target owner =
        new OwnershipView.Target(
            OWNER,
            SERVICE,
            new Address("10.0.0.1", 1_000),
            AvailabilityZone.of("z0"),
            SLOTS,
            TargetPhase.READY);
    OwnershipView.Range all = new OwnershipView.Range(SERVICE, KeyRange.ALL, OWNER, true, 0);
    for (int i = 0; i < ENTRIES; i++) {
      Entry entry = new Entry();
      entry.routing.update(new OwnershipView(List.of(owner), List.of(all)), 0);
      entries.add(entry);
      double firstMillis = nowMillis + REPORT_MILLIS * i / ENTRIES;
      at(firstMillis, () -> report(entry));
    }
  }

  /**
   * Runs the load.
   *
   * @param millis length
   * @param utilisation offered work relative to what the owner can do
   * @return what came of the requests
   */
  Outcome run(double millis, double utilisation) {
    double endMillis = nowMillis + millis;
    double perMillis = utilisation * SLOTS / meanWorkMillis();
    double nextMillis = nowMillis;
    while (nextMillis < endMillis) {
      nextMillis += -Math.log(1 - random.nextDouble()) / perMillis;
      Kind kind = random.nextDouble() < KINDS.get(0).share() ? KINDS.get(0) : KINDS.get(1);
      double waitsMillis = kind.deadlineMillis() * (1 - DEADLINE_SPREAD * random.nextDouble());
      Attempt attempt = new Attempt(kind, nextMillis, waitsMillis);
      owed += kind.worth();
      at(nextMillis, () -> arrive(attempt));
    }
    while (!agenda.isEmpty() && agenda.peek().atMillis() < endMillis + 2_000) {
      Event event = agenda.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return new Outcome(inTime, late, refused, unanswered, earned / owed);
  }

  private double meanWorkMillis() {
    return slowness * KINDS.stream().mapToDouble(k -> k.share() * k.workMillis()).sum();
  }

  private void at(double millis, Runnable action) {
    agenda.add(new Event(millis, action));
  }

  private void report(Entry entry) {
    entry.owner().takeCompleted();
    entry.reportedInFlight = entry.owner().inFlight();
    int inFlight = entries.stream().mapToInt(e -> e.reportedInFlight).sum();
    TargetLoadEstimate pressure = new TargetLoadEstimate(inFlight, (int) meanWorkMillis());
    entry.routing.update(Map.of(OWNER, pressure), ENTRIES);
    at(nowMillis + REPORT_MILLIS, () -> report(entry));
  }

  private void arrive(Attempt attempt) {
    attempt.entry = random.nextInt(ENTRIES);
    Entry entry = entries.get(attempt.entry);
    Decision decision = entry.chooser.chooseOwner(entry.routing, 5, demand(entry, attempt));
    if (decision instanceof Decision.Refuse refusal) {
      refuse(attempt, refusal.retryAfterMillis());
    } else if (queue.size() + busySlots >= SLOTS + TARGET_QUEUE) {
      refuse(attempt, (long) meanWorkMillis());
    } else {
      entry.owner().sent();
      queue.add(attempt);
      startWork();
    }
  }

  private Demand demand(Entry entry, Attempt attempt) {
    Kind kind = attempt.kind;
    long nowNanos = (long) (nowMillis * 1e6);
    long leftMillis = (long) (attempt.deadlineMillis - nowMillis);
    long waitedMillis =
        entry.deadlines.waitedMillis(nowNanos, kind.route(), OptionalLong.of(leftMillis));
    return new Demand(
        SERVICE,
        RouteKind.SAFE,
        kind.priority(),
        nowNanos,
        leftMillis,
        kind.objectiveMillis() - waitedMillis);
  }

  private void refuse(Attempt attempt, long retryAfterMillis) {
    if (attempt.returned) {
      refused++;
      return;
    }
    attempt.returned = true;
    double left = attempt.deadlineMillis - nowMillis;
    double pauseMillis = Math.min(retryAfterMillis, LONGEST_PAUSE_SHARE * left);
    at(nowMillis + pauseMillis, () -> arrive(attempt));
  }

  private void startWork() {
    while (busySlots < SLOTS && !queue.isEmpty()) {
      Attempt attempt = queue.poll();
      busySlots++;
      double end = nowMillis + workMillis(attempt.kind);
      boolean answered = end <= attempt.deadlineMillis;
      at(
          Math.max(nowMillis, Math.min(end, attempt.deadlineMillis)),
          () -> finish(attempt, answered));
    }
  }

  private double workMillis(Kind kind) {
    double factor = Math.exp(random.nextGaussian() * SPREAD - SPREAD * SPREAD / 2);
    return kind.workMillis() * slowness * factor;
  }

  private void finish(Attempt attempt, boolean answered) {
    busySlots--;
    TargetStats owner = entries.get(attempt.entry).owner();
    boolean met = nowMillis - attempt.firstMillis <= attempt.kind.objectiveMillis();
    if (answered) {
      owner.answered();
      earned += attempt.kind.worth() * (met ? 1 : LATE_WORTH);
      inTime += met ? 1 : 0;
      late += met ? 0 : 1;
    } else {
      owner.abandoned();
      unanswered++;
    }
    startWork();
  }
}
