package io.coltsfootwheel.routing;

import java.util.List;

/**
 * Where requests for a host and path prefix go, and how long they may take.
 *
 * @param name name of the route
 * @param host value of the Host header, without port
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request may be kept waiting
 * @param targetLatencyMillis time within which a response has its full benefit
 * @param priority rank; 0 is the most urgent
 * @param maxAttempts most targets to which one request may be sent
 * @param services destinations; the weights of a route that names one service are irrelevant
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
   * Chooses the destination of one request.
   *
   * @param draw uniformly distributed number, at least 0 and below 1
   * @return the destination
   */
  public WeightedService choose(double draw) {
    double rest = draw * totalWeight();
    for (WeightedService service : services) {
      rest -= service.weight();
      if (rest < 0) {
        return service;
      }
    }
    return services.get(services.size() - 1);
  }

  double totalWeight() {
    return services.stream().mapToDouble(WeightedService::weight).sum();
  }
}
