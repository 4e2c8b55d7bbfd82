package io.coltsfootwheel.edge;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Compares requests with one route. */
final class RouteMatcher {
  private final OperatorRoute route;
  private final String[] segments;

  RouteMatcher(OperatorRoute route) {
    this.route = route;
    this.segments = route.path().split("/", -1);
  }

  OperatorRoute route() {
    return route;
  }

  /** Returns the values of the path's parameters, or empty when the route does not match. */
  Optional<Map<String, String>> match(String method, String path) {
    String[] given = path.split("/", -1);
    if (!route.method().equals(method) || given.length != segments.length) {
      return Optional.empty();
    }
    Map<String, String> parameters = new HashMap<>();
    for (int i = 0; i < segments.length; i++) {
      if (segments[i].startsWith("{")) {
        parameters.put(segments[i].substring(1, segments[i].length() - 1), given[i]);
      } else if (!segments[i].equals(given[i])) {
        return Optional.empty();
      }
    }
    return Optional.of(parameters);
  }
}
