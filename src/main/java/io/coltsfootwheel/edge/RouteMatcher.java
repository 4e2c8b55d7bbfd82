package io.coltsfootwheel.edge;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Matches requests against one route. */
final class RouteMatcher {
  private final OperatorRoute route;
  private final String[] routeSegments;

  RouteMatcher(OperatorRoute route) {
    this.route = route;
    this.routeSegments = route.path().split("/", -1);
  }

  OperatorRoute route() {
    return route;
  }

  /** Returns the values of the path parameters, or empty if the route does not match. */
  Optional<Map<String, String>> match(String method, String path) {
    String[] pathSegments = path.split("/", -1);
    if (!route.method().equals(method) || pathSegments.length != routeSegments.length) {
      return Optional.empty();
    }
    Map<String, String> parameters = new HashMap<>();
    for (int i = 0; i < routeSegments.length; i++) {
      if (routeSegments[i].startsWith("{")) {
        parameters.put(
            routeSegments[i].substring(1, routeSegments[i].length() - 1), pathSegments[i]);
      } else if (!routeSegments[i].equals(pathSegments[i])) {
        return Optional.empty();
      }
    }
    return Optional.of(parameters);
  }
}
