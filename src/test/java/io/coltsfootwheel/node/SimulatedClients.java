package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.HeldRange;
import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnedRange;
import io.coltsfootwheel.keyspace.ReleasedRange;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetLeave;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ItemKey;
import io.coltsfootwheel.routing.ItemType;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WarmupPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** Targets, entries and an operator that send random calls to a simulated control group. */
final class SimulatedClients {
  private static final int TARGETS = 40;
  private static final int ENTRIES = 4;
  private static final int SERVICES = 4;
  private static final long REPORT_MILLIS = 300;
  private static final long SUBSCRIBE_MILLIS = 100;

  private final ControlGroupSimulation group;
  private final SplittableRandom random;
  private final List<Target> targets = new ArrayList<>();
  private final Map<InstanceId, Long> viewTerms = new HashMap<>();
  private final Map<InstanceId, Long> viewSequences = new HashMap<>();
  private long version;
  private long sequence;

  SimulatedClients(ControlGroupSimulation group, SplittableRandom random) {
    this.group = group;
    this.random = random;
    for (int i = 0; i < TARGETS; i++) {
      targets.add(new Target(i));
      Target target = targets.get(i);
      group.after(1_000 + random.nextInt(1_000), target::report);
    }
    for (int i = 0; i < ENTRIES; i++) {
      InstanceId entry = InstanceId.of("10.9.0." + (i + 1));
      group.after(1_000 + random.nextInt(100), () -> subscribe(entry));
    }
    group.after(1_500, this::operate);
  }

  private InstanceId leaderOrAny() {
    return random.nextInt(10) == 0
        ? group.anyProcess()
        : group.leader().orElseGet(group::anyProcess);
  }

  void receive(InstanceId from, InstanceId entry, NodeMessage message) {
    if (message instanceof NodeMessage.Routing routing) {
      viewTerms.put(entry, routing.term());
      viewSequences.put(entry, routing.viewSequence());
    }
  }

  void called(InstanceId from, TargetCall call) {
    TargetCallResult.Outcome[] outcomes = TargetCallResult.Outcome.values();
    TargetCallResult result =
        new TargetCallResult(
            outcomes[random.nextInt(outcomes.length)], random.nextBoolean() ? "t" : "");
    group.after(
        random.nextInt(300),
        () ->
            group.call(
                from, id -> new ControlEvent.TargetCallEnded(group.nowNanos(), call, result)));
  }

  private void subscribe(InstanceId entry) {
    Map<ServiceName, Map<Integer, Integer>> requests = new HashMap<>();
    for (int s = 0; s < SERVICES; s++) {
      Map<Integer, Integer> counts = new HashMap<>();
      for (int i = random.nextInt(20); i > 0; i--) {
        counts.put(
            random.nextInt(4) == 0 ? 7 : random.nextInt(KeyRange.MAX_KEY + 1),
            1 + random.nextInt(40));
      }
      requests.put(service(s), counts);
    }
    List<LoadReport.TargetObservation> observations = new ArrayList<>();
    Map<TargetId, Integer> permits = new HashMap<>();
    for (Target target : targets) {
      if (random.nextBoolean()) {
        observations.add(
            new LoadReport.TargetObservation(
                target.id,
                random.nextInt(4),
                random.nextInt(10),
                random.nextInt(5_000),
                0,
                0,
                null));
      }
      if (random.nextInt(5) == 0) {
        permits.put(target.id, random.nextInt(5));
      }
    }
    LoadReport load =
        new LoadReport(
            requests,
            observations,
            List.of(
                new LoadReport.KindDemand(
                    service(0), random.nextInt(3), random.nextInt(50), 3, 200)),
            permits);
    NodeMessage.Subscribe message =
        new NodeMessage.Subscribe(
            new Address(entry.value(), 7_000),
            version,
            viewTerms.getOrDefault(entry, 0L),
            viewSequences.getOrDefault(entry, -1L),
            load,
            0,
            group.nowNanos(),
            random.nextBoolean());
    group.deliver(entry, leaderOrAny(), message);
    group.after(SUBSCRIBE_MILLIS, () -> subscribe(entry));
  }

  private void operate() {
    int kind = random.nextInt(10);
    if (kind < 5) {
      change();
    } else if (kind < 7) {
      group.call(leaderOrAny(), id -> new ControlEvent.ReadRequested(group.nowNanos(), id));
    } else if (kind < 8) {
      FleetCommand.SetZoneEvacuation order =
          new FleetCommand.SetZoneEvacuation(zone(random.nextInt(3)), random.nextInt(3) == 0);
      group.call(
          leaderOrAny(), id -> new ControlEvent.EvacuationRequested(group.nowNanos(), id, order));
    } else {
      Target target = targets.get(random.nextInt(TARGETS));
      TargetLeave leave =
          new TargetLeave(
              target.id,
              random.nextBoolean() ? OptionalLong.empty() : OptionalLong.of(target.incarnation));
      group.call(leaderOrAny(), id -> new ControlEvent.LeaveReceived(group.nowNanos(), id, leave));
    }
    group.after(20 + random.nextInt(400), this::operate);
  }

  private long change() {
    long base = version;
    long next = base + 1 + random.nextInt(2);
    boolean complete = random.nextInt(3) > 0 || base == 0;
    List<ConfigurationItem> items = new ArrayList<>();
    for (int s = 0; s < SERVICES; s++) {
      if (random.nextInt(6) > 0) {
        items.add(ConfigurationItem.of(policy(s), "{}"));
      }
    }
    List<ItemKey> removals =
        complete || random.nextInt(4) > 0
            ? List.of()
            : List.of(new ItemKey(ItemType.SERVICE, service(random.nextInt(SERVICES)).value()));
    ConfigurationChange change =
        new ConfigurationChange(
            base, next, "f" + random.nextInt(100_000), complete, items, removals);
    InstanceId leader = leaderOrAny();
    long call =
        group.call(leader, id -> new ControlEvent.ChangeRequested(group.nowNanos(), id, change));
    group.after(150, () -> group.answer(call).ifPresent(a -> learn(a, next)));
    return call;
  }

  private void learn(ControlAnswer answer, long next) {
    if (answer instanceof ControlAnswer.Accepted) {
      version = next;
    } else if (answer instanceof ControlAnswer.Conflict conflict) {
      version = conflict.currentVersion();
    }
  }

  private ServicePolicy policy(int number) {
    return new ServicePolicy(
        service(number),
        number < 3,
        10,
        number == 1 || random.nextInt(10) == 0 ? GrantMethod.CALL : GrantMethod.HEARTBEAT,
        random.nextInt(3) == 0
            ? Optional.of(new WarmupPolicy(random.nextInt(4), random.nextInt(20)))
            : Optional.empty());
  }

  boolean canChangeConfiguration() {
    for (int attempt = 0; attempt < 20; attempt++) {
      long call = change();
      group.runFor(400);
      if (group.answer(call).filter(a -> a instanceof ControlAnswer.Accepted).isPresent()) {
        return true;
      }
    }
    return false;
  }

  private static ServiceName service(int number) {
    return ServiceName.of("service-" + number);
  }

  private static AvailabilityZone zone(int number) {
    return AvailabilityZone.of("zone-" + number);
  }

  private final class Target {
    private final TargetId id;
    private final int number;
    private long incarnation = 1;
    private int address;
    private int service;
    private int slots = 2;
    private TargetPhase phase = TargetPhase.READY;
    private List<OwnedRange> held = List.of();
    private List<ReleasedRange> released = List.of();

    private Target(int number) {
      this.number = number;
      this.id = TargetId.of("i-" + number);
      this.address = number;
      this.service = number % SERVICES;
    }

    private void report() {
      live();
      HeartbeatReport report =
          new HeartbeatReport(
              new TargetRecord(
                  id,
                  incarnation,
                  service(service),
                  new Address("10.8.0." + (address + 1), 8_000),
                  zone(number % 3),
                  slots,
                  phase),
              ++sequence - (random.nextInt(20) == 0 ? 60 : 0),
              random.nextInt(5) == 0 ? random.nextInt(3_000) : 0,
              held.stream().map(r -> new HeldRange(r.range(), r.fence())).toList(),
              released);
      long call =
          group.call(
              leaderOrAny(), i -> new ControlEvent.ReportReceived(group.nowNanos(), i, report));
      group.after(60, () -> group.answer(call).ifPresent(this::learn));
      group.after(random.nextInt(40) == 0 ? 6_000 : REPORT_MILLIS, this::report);
    }

    private void live() {
      int kind = random.nextInt(100);
      if (kind < 2) {
        incarnation++;
        held = List.of();
        released = List.of();
        phase = TargetPhase.READY;
      } else if (kind < 3) {
        phase = TargetPhase.values()[random.nextInt(TargetPhase.values().length)];
      } else if (kind < 4) {
        address = random.nextInt(TARGETS);
      } else if (kind < 5) {
        service = random.nextInt(SERVICES);
      } else if (kind < 30) {
        slots = 1 + random.nextInt(4);
      }
    }

    private void learn(ControlAnswer answer) {
      if (answer instanceof ControlAnswer.Acknowledged acknowledged
          && acknowledged.grant().isPresent()) {
        List<OwnedRange> granted = acknowledged.grant().get().ranges();
        released =
            held.stream()
                .map(OwnedRange::range)
                .filter(r -> granted.stream().noneMatch(g -> g.range().overlaps(r)))
                .map(r -> new ReleasedRange(r, random.nextBoolean() ? "t" + number : ""))
                .toList();
        held = granted;
      }
    }
  }
}
