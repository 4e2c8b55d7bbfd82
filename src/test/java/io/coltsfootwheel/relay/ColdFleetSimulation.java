package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.WarmupState;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.loadcontrol.PermitIssuer;
import io.coltsfootwheel.loadcontrol.PermitLimit;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WarmupPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;

/** Entries that share the permits for one cold target, with links, leaders and faults. */
final class ColdFleetSimulation {
  static final TargetId COLD = TargetId.of("t0");
  static final double RATE = 3.7;
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final PermitLimit LIMIT = PermitLimit.of(RATE, 1.5, 8);

  private final Random random;
  private final boolean keyed;
  private final List<OwnershipView.Target> targets = new ArrayList<>();
  private final TreeMap<Long, List<Runnable>> tasks = new TreeMap<>();
  private final List<Long> arrivalMillis = new ArrayList<>();
  final List<Entry> entries = new ArrayList<>();
  private Leader leader;
  private long nowMillis = 10_000;
  int answered;
  int refused;

  /** A leader, which may go on answering for a while after its successor was elected. */
  private final class Leader {
    private final PermitIssuer issuer = new PermitIssuer();

    private Leader(boolean isFirst) {
      issuer.setLimits(nanos(), Map.of(COLD, LIMIT), isFirst ? Set.of(COLD) : Set.of());
    }

    private void receive(Entry from, long askedNanos, Map<TargetId, Integer> wanted) {
      Map<TargetId, PermitGrant> grants = new HashMap<>();
      wanted.forEach((t, n) -> grants.put(t, issuer.request(nanos(), t, from.id, n)));
      long roundStartMillis = random.nextInt(20);
      after(
          roundStartMillis,
          () -> {
            boolean isConfirmed = leader == this;
            after(
                random.nextInt(30) + linkMillis(),
                () -> {
                  if (isConfirmed && !from.isCutOff) {
                    from.receive(askedNanos, grants);
                  }
                });
          });
    }
  }

  /** An entry with the decisions of the product. */
  final class Entry {
    private final InstanceId id;
    private final RoutingState routing = new RoutingState();
    private final TargetChooser chooser;
    private final PermitDemand demand = new PermitDemand();
    private List<Runnable> waiting = new ArrayList<>();
    boolean isCutOff;
    boolean isDead;
    private Leader asked = leader;

    private Entry(int number) {
      id = InstanceId.of("e" + number);
      chooser =
          new TargetChooser(
              RandomSource.SPLIT_MIX_64.create(number),
              AvailabilityZone.of("z" + number % 4),
              2_000);
      ServicePolicy policy =
          new ServicePolicy(
              SERVICE, keyed, 500, GrantMethod.HEARTBEAT, Optional.of(new WarmupPolicy(3, RATE)));
      routing.updateConfiguration(
          new Configuration(1, List.of(ConfigurationItem.of(policy, "")), List.of()));
      routing.updateOwnership(
          new OwnershipView(
              targets, List.of(new OwnershipView.Range(SERVICE, KeyRange.ALL, COLD, true, 0))),
          nanos());
      after(random.nextInt(100), this::report);
    }

    private void report() {
      if (isDead) {
        return;
      }
      Map<TargetId, Integer> wanted = demand.take(nanos(), routing);
      long askedNanos = nanos();
      Leader receiver = asked;
      asked = leader;
      after(linkMillis(), () -> receiver.receive(this, askedNanos, wanted));
      after(100, this::report);
    }

    private void receive(long askedNanos, Map<TargetId, PermitGrant> grants) {
      long endNanos = askedNanos + TimeUnit.MILLISECONDS.toNanos(PermitLimit.VALID_MILLIS);
      grants.forEach(
          (t, g) -> routing.target(t).orElseThrow().permits().record(nanos(), g, endNanos));
      List<Runnable> woken = waiting;
      waiting = new ArrayList<>();
      woken.forEach(Runnable::run);
    }

    void request(long deadlineMillis) {
      if (!keyed) {
        demand.recordUnkeyed(SERVICE);
      }
      decide(nowMillis + deadlineMillis, Long.MAX_VALUE, false);
    }

    private void decide(long deadlineMillis, long waitEndMillis, boolean awaitsPermit) {
      long leftMillis = deadlineMillis - nowMillis;
      RequestConstraints constraints =
          new RequestConstraints(
              SERVICE, RouteKind.SAFE, 1, nanos(), leftMillis, leftMillis / 2, awaitsPermit, false);
      RoutingDecision decision =
          keyed
              ? chooser.chooseOwner(routing, 5, constraints)
              : chooser.chooseAny(routing, Set.of(), constraints);
      if (isDead) {
        return;
      }
      if (decision instanceof RoutingDecision.Send send) {
        send(send.target());
      } else if (decision instanceof RoutingDecision.Wait wait && nowMillis < waitEndMillis) {
        long endMillis = Math.min(waitEndMillis, nowMillis + wait.maxWaitMillis());
        TargetPermits permits = wait.coldTarget().orElseThrow().permits();
        permits.startWaiting();
        Runnable wake =
            () -> {
              permits.stopWaiting();
              decide(deadlineMillis, endMillis, true);
            };
        waiting.add(wake);
        after(
            endMillis - nowMillis,
            () -> {
              if (waiting.remove(wake)) {
                wake.run();
              }
            });
      } else {
        refused++;
      }
    }

    private void send(TargetStats target) {
      answered++;
      target.recordSent();
      after(300, target::recordResponse);
      if (target.isCold()) {
        long endNanos = target.permits().take(nanos()).orElseThrow();
        // Some requests wait for a connection; they are written only while the permit is valid.
        long writeMillis = random.nextInt(4) == 0 ? random.nextInt(400) : 0;
        after(
            writeMillis,
            () -> {
              if (!isDead && nanos() < endNanos) {
                after(transitMillis(), () -> arrivalMillis.add(nowMillis));
              }
            });
      }
    }
  }

  ColdFleetSimulation(long seed, boolean keyed, int warmTargets) {
    this.random = new Random(seed);
    this.keyed = keyed;
    for (int i = 0; i <= warmTargets; i++) {
      targets.add(
          new OwnershipView.Target(
              TargetId.of("t" + i),
              SERVICE,
              new Address("10.0.0.1", 1_000 + i),
              AvailabilityZone.of("z" + i % 4),
              2,
              TargetPhase.READY,
              1,
              false,
              i == 0 ? WarmupState.COLD : WarmupState.WARM));
    }
    electLeader();
  }

  void addEntries(int count) {
    for (int i = 0; i < count; i++) {
      entries.add(new Entry(entries.size()));
    }
  }

  /** Elects a leader; entries ask the one before once more, and its open rounds fail. */
  void electLeader() {
    leader = new Leader(leader == null);
  }

  /** Runs for a time in which requests arrive at random at all entries. */
  void run(long millis, double requestsPerSecond, long deadlineMillis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
      while (!tasks.isEmpty() && tasks.firstKey() <= nowMillis) {
        tasks.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      if (random.nextDouble() < requestsPerSecond / 1_000) {
        anyEntry().request(deadlineMillis);
      }
    }
  }

  Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  /** Returns the largest number of requests that reached the cold target within one second. */
  int maxArrivalsInOneSecond() {
    List<Long> sorted = arrivalMillis.stream().sorted().toList();
    int max = 0;
    for (int first = 0, last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= 1_000) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  int arrivals() {
    return arrivalMillis.size();
  }

  private long linkMillis() {
    return random.nextInt(30) == 0 ? random.nextInt(400) : 1 + random.nextInt(5);
  }

  private long transitMillis() {
    return random.nextInt(10) == 0
        ? random.nextInt((int) PermitLimit.MAX_TRANSIT_MILLIS)
        : 1 + random.nextInt(5);
  }

  private void after(long delayMillis, Runnable task) {
    tasks.computeIfAbsent(nowMillis + delayMillis, m -> new ArrayList<>()).add(task);
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }
}
