package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Links that delay, drop and may be cut in one direction; control links keep their order. */
final class SimulatedLinks {
  private record Link(InstanceId from, InstanceId to) {}

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final Set<Link> cut = new HashSet<>();
  private final Map<Link, Long> lastArrivalNanos = new HashMap<>();
  private double lossRate;
  private double slowRate;

  SimulatedLinks(SimulationClock clock, SplittableRandom random) {
    this.clock = clock;
    this.random = random;
  }

  void cut(InstanceId from, InstanceId to) {
    cut.add(new Link(from, to));
  }

  void degrade(double loss, double slow) {
    lossRate = loss;
    slowRate = slow;
  }

  void heal() {
    cut.clear();
    degrade(0, 0);
  }

  boolean passes(InstanceId from, InstanceId to) {
    return !cut.contains(new Link(from, to)) && random.nextDouble() >= lossRate;
  }

  /** Delivers a control message in the order of the link, as one connection does. */
  void control(InstanceId from, InstanceId to, Runnable delivery) {
    if (passes(from, to)) {
      Link link = new Link(from, to);
      long arrival = Math.max(clock.now() + delayNanos(), lastArrivalNanos.getOrDefault(link, 0L));
      lastArrivalNanos.put(link, arrival);
      clock.after(arrival - clock.now(), delivery);
    }
  }

  /** Delivers data or, when the link fails, runs the other action. */
  void data(InstanceId from, InstanceId to, Runnable delivery, Runnable failed) {
    clock.after(delayNanos(), passes(from, to) ? delivery : failed);
  }

  long delayNanos() {
    long millis = random.nextDouble() < slowRate ? 400 : 4;
    return 1 + random.nextLong(millis * SimulationClock.NANOS_PER_MILLI);
  }
}
