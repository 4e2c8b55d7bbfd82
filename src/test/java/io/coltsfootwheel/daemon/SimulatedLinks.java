package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulated links, which delay messages, lose a share of them and may be cut in one direction.
 * Control messages of a link arrive in order, data messages may overtake each other.
 */
final class SimulatedLinks {
  private record Link(InstanceId from, InstanceId to) {}

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final Set<Link> cutLinks = new HashSet<>();
  private final Map<Link, Long> lastArrivalNanos = new HashMap<>();
  private double lossRate;
  private double slowRate;

  SimulatedLinks(SimulationClock clock, SplittableRandom random) {
    this.clock = clock;
    this.random = random;
  }

  void cut(InstanceId from, InstanceId to) {
    cutLinks.add(new Link(from, to));
  }

  void degrade(double newLossRate, double newSlowRate) {
    lossRate = newLossRate;
    slowRate = newSlowRate;
  }

  void heal() {
    cutLinks.clear();
    degrade(0, 0);
  }

  boolean passes(InstanceId from, InstanceId to) {
    return !cutLinks.contains(new Link(from, to)) && random.nextDouble() >= lossRate;
  }

  /**
   * Delivers a control message after those sent before it, as a single connection does, or loses
   * it.
   */
  void sendControl(InstanceId from, InstanceId to, Runnable delivery) {
    if (passes(from, to)) {
      Link link = new Link(from, to);
      long arrival = Math.max(clock.now() + delayNanos(), lastArrivalNanos.getOrDefault(link, 0L));
      lastArrivalNanos.put(link, arrival);
      clock.after(arrival - clock.now(), delivery);
    }
  }

  /**
   * Delivers a data message or, when the link fails, runs the action for the failure; both after a
   * delay.
   */
  void sendData(InstanceId from, InstanceId to, Runnable delivery, Runnable onFailure) {
    clock.after(delayNanos(), passes(from, to) ? delivery : onFailure);
  }

  long delayNanos() {
    long millis = random.nextDouble() < slowRate ? 400 : 4;
    return 1 + random.nextLong(millis * SimulationClock.NANOS_PER_MILLI);
  }
}
