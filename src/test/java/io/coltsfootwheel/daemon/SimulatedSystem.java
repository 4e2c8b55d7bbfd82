package io.coltsfootwheel.daemon;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Simulated instances, targets and links of one run, which share a clock of virtual time. */
final class SimulatedSystem {
  static final ServiceSpec SERVICE =
      new ServiceSpec(ServiceName.of("ledger"), true, 16, MovePolicy.AVAILABILITY);

  private static final int TARGETS = 5;
  private static final int TARGETS_WITH_FENCE_CHECK = 3;
  private static final double MAX_CLOCK_DRIFT = 0.01;

  private final SimulationClock clock = new SimulationClock();
  private final SplittableRandom random;
  private final RunChecker checker = new RunChecker(clock);
  private final SimulatedLinks links;
  private final Map<InstanceId, SimulatedInstance> instances = new TreeMap<>();
  private final Map<TargetId, SimulatedTarget> targets = new TreeMap<>();
  private final List<InstanceId> members = Stream.of("m1", "m2", "m3").map(InstanceId::of).toList();
  private boolean faulty;
  private long events;

  SimulatedSystem(long seed) {
    random = new SplittableRandom(seed);
    links = new SimulatedLinks(clock, random);
    members.forEach(id -> add(id, true));
    int nonMembers = 2 + random.nextInt(2);
    for (int i = 1; i <= nonMembers; i++) {
      add(InstanceId.of("n" + i), false);
    }
    for (int i = 0; i < TARGETS; i++) {
      TargetSpec spec =
          new TargetSpec(
              TargetId.of("t" + i),
              SERVICE.name(),
              Address.parse("127.0.0.1:" + (9_001 + i)),
              AvailabilityZone.of("z"),
              2,
              100,
              i < TARGETS_WITH_FENCE_CHECK,
              false,
              "");
      targets.put(spec.id(), new SimulatedTarget(clock, random, checker, spec, randomClockRate()));
    }
    instances.values().forEach(SimulatedInstance::start);
    targets.values().forEach(SimulatedTarget::start);
  }

  private void add(InstanceId id, boolean member) {
    long offsetNanos = random.nextLong(1_000_000 * SimulationClock.NANOS_PER_MILLI);
    instances.put(id, new SimulatedInstance(id, this, member, randomClockRate(), offsetNanos));
  }

  private double randomClockRate() {
    return 1 + MAX_CLOCK_DRIFT * (2 * random.nextDouble() - 1);
  }

  SimulationClock clock() {
    return clock;
  }

  SplittableRandom random() {
    return random;
  }

  RunChecker checker() {
    return checker;
  }

  SimulatedLinks links() {
    return links;
  }

  List<InstanceId> members() {
    return members;
  }

  Collection<SimulatedInstance> instances() {
    return instances.values();
  }

  Collection<SimulatedTarget> targets() {
    return targets.values();
  }

  SimulatedInstance instance(InstanceId id) {
    return instances.get(id);
  }

  SimulatedTarget target(TargetId id) {
    return targets.get(id);
  }

  boolean isFaulty() {
    return faulty;
  }

  void setFaulty(boolean value) {
    faulty = value;
  }

  long events() {
    return events;
  }

  void countEvent() {
    events++;
  }

  void after(long delayNanos, Runnable action) {
    clock.after(delayNanos, action);
  }

  void deliver(InstanceId from, InstanceId to, Frame frame) {
    instances
        .get(to)
        .handle(
            nowNanos ->
                new InstanceEvent.MessageReceived(nowNanos, from, ControlMessage.decode(frame)));
  }

  Optional<SimulatedInstance> anyRunning() {
    List<SimulatedInstance> running =
        instances.values().stream().filter(SimulatedInstance::isRunning).toList();
    return running.isEmpty()
        ? Optional.empty()
        : Optional.of(running.get(random.nextInt(running.size())));
  }
}
