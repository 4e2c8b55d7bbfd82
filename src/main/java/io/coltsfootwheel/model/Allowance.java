package io.coltsfootwheel.model;

import java.util.Set;

/**
 * What customers that hold a plan may use.
 *
 * @param ratePerSecond requests per second of one customer over the whole fleet
 * @param burst requests above the rate that may come at once
 * @param concurrency requests of one customer in flight over the whole fleet
 * @param services services that the plan opens
 */
public record Allowance(
    double ratePerSecond, int burst, int concurrency, Set<ServiceName> services) {
  /** Copies the set. */
  public Allowance {
    services = Set.copyOf(services);
  }
}
