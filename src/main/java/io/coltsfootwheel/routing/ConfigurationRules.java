package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Validates the routes of a configuration, and their references to its services. */
final class ConfigurationRules {
  private static final long MAX_TIMEOUT_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /** A latency objective that exceeds the timeout by this much is taken for a typing error. */
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
      return describe(route, "path prefix must begin and end with a slash");
    }
    if (route.timeoutMillis() < 0 || route.timeoutMillis() > MAX_TIMEOUT_MILLIS) {
      return describe(route, "timeout must be 0 to " + MAX_TIMEOUT_MILLIS + " ms");
    }
    if (route.targetLatencyMillis() < 0
        || route.targetLatencyMillis() >= route.timeoutMillis() + MAX_OBJECTIVE_EXCESS_MILLIS) {
      return describe(route, "latency objective does not fit the timeout");
    }
    for (WeightedService service : route.services()) {
      if (!services.contains(service.service())) {
        return describe(route, "service " + service.service() + " is not configured");
      }
      if (!(service.weight() >= 0)) {
        return describe(route, "weight of " + service.service() + " is below 0");
      }
    }
    return route.totalWeight() > 0 ? Optional.empty() : describe(route, "weights add up to 0");
  }

  private static Optional<String> describe(Route route, String text) {
    return Optional.of("route " + route.name() + ": " + text);
  }
}
