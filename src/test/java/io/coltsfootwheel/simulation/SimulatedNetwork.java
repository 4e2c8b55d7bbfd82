package io.coltsfootwheel.simulation;

import io.coltsfootwheel.model.InstanceId;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Network whose links drop, delay, duplicate and reorder messages, and can be cut one way. */
public final class SimulatedNetwork {
  private record Link(InstanceId from, InstanceId to) {}

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final Set<Link> cutLinks = new HashSet<>();
  private double lossRate;
  private double slowRate;

  public SimulatedNetwork(SimulationClock clock, SplittableRandom random) {
    this.clock = clock;
    this.random = random;
  }

  public void send(InstanceId from, InstanceId to, Runnable delivery) {
    if (cutLinks.contains(new Link(from, to)) || random.nextDouble() < lossRate) {
      return;
    }
    clock.after(delayNanos(), delivery);
    if (random.nextDouble() < lossRate / 2) {
      clock.after(delayNanos(), delivery);
    }
  }

  private long delayNanos() {
    long millis = random.nextDouble() < slowRate ? 400 : 4;
    return 1 + random.nextLong(millis * SimulationClock.NANOS_PER_MILLI);
  }

  public void cut(InstanceId from, InstanceId to) {
    cutLinks.add(new Link(from, to));
  }

  public void degrade(double newLossRate, double newSlowRate) {
    lossRate = newLossRate;
    slowRate = newSlowRate;
  }

  public void heal() {
    cutLinks.clear();
    degrade(0, 0);
  }
}
