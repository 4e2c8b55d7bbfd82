package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Checks the items of a configuration against each other. */
final class ConfigurationRules {
  private static final long MAX_TIMEOUT_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /** A latency objective this far above the timeout can never be met and is a typing error. */
  private static final long MAX_OBJECTIVE_EXCESS_MILLIS = TimeUnit.MINUTES.toMillis(1);

  private ConfigurationRules() {}

  static Optional<String> firstViolation(Collection<ConfigurationItem> items) {
    Set<ServiceName> services =
        items.stream()
            .flatMap(item -> item.service().stream())
            .map(ServicePolicy::name)
            .collect(Collectors.toSet());
    return items.stream()
        .flatMap(item -> item.route().stream())
        .flatMap(route -> violation(route, services).stream())
        .findFirst();
  }

  private static Optional<String> violation(Route route, Set<ServiceName> services) {
    if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
      return fault(route, "path prefix must begin and end with a slash");
    }
    if (route.timeoutMillis() < 0 || route.timeoutMillis() > MAX_TIMEOUT_MILLIS) {
      return fault(route, "timeout must be 0 to " + MAX_TIMEOUT_MILLIS + " ms");
    }
    if (route.targetLatencyMillis() < 0
        || route.targetLatencyMillis() >= route.timeoutMillis() + MAX_OBJECTIVE_EXCESS_MILLIS) {
      return fault(route, "latency objective does not fit the timeout");
    }
    for (WeightedService service : route.services()) {
      if (!services.contains(service.service())) {
        return fault(route, "service " + service.service() + " is not configured");
      }
      if (!(service.weight() >= 0)) {
        return fault(route, "weight of " + service.service() + " is below 0");
      }
    }
    return route.totalWeight() > 0 ? Optional.empty() : fault(route, "weights add up to 0");
  }

  private static Optional<String> fault(Route route, String text) {
    return Optional.of("route " + route.name() + ": " + text);
  }
}
