package io.coltsfootwheel.model;

import java.util.Set;

/**
 * Limits and permitted services of the customers with a plan.
 *
 * @param ratePerSecond requests per second of one customer over the whole fleet
 * @param burst requests above the rate that are admitted at once
 * @param concurrency requests of one customer in flight over the whole fleet
 * @param services services that customers with the plan may call
 */
public record Allowance(
    double ratePerSecond, int burst, int concurrency, Set<ServiceName> services) {
  /** Copies the set, in the order of the names. */
  public Allowance {
    services = SortedCopy.ofSet(services);
  }
}
