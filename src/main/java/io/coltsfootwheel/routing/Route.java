package io.coltsfootwheel.routing;

import java.util.List;

/**
 * Destinations and time limits of the requests for a host and path prefix.
 *
 * @param name name of the route
 * @param host value of the Host header, without port
 * @param pathPrefix path prefix, which begins and ends with a slash
 * @param kind whether requests may be executed more than once
 * @param timeoutMillis maximum time until a request is answered
 * @param targetLatencyMillis latency objective, within which a response has its full value
 * @param priority priority; 0 is the highest
 * @param maxAttempts maximum number of targets to which one request may be sent
 * @param services destinations; the weight is irrelevant for a route to a single service
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int maxAttempts,
    List<WeightedService> services) {
  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Chooses the destination of one request in proportion to the weights.
   *
   * @param draw uniformly distributed random number, at least 0 and below 1
   * @return the destination
   */
  public WeightedService choose(double draw) {
    double remaining = draw * totalWeight();
    for (WeightedService service : services) {
      remaining -= service.weight();
      if (remaining < 0) {
        return service;
      }
    }
    return services.get(services.size() - 1);
  }

  double totalWeight() {
    return services.stream().mapToDouble(WeightedService::weight).sum();
  }
}
