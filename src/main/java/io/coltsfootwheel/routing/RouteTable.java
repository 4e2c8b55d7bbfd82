package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, by which a request is handled from its head to its response.
 * Finds the route of a request: the one of its host with the longest matching path prefix.
 */
public final class RouteTable {
  private static final RouteTable EMPTY =
      new RouteTable(0, Map.of(), Map.of(), ClientLimits.UNCONFIGURED);

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<ServiceName, ServicePolicy> services;
  private final ClientLimits limits;

  private RouteTable(
      long version,
      Map<String, List<Route>> routesByHost,
      Map<ServiceName, ServicePolicy> services,
      ClientLimits limits) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.limits = limits;
  }

  /**
   * Builds the table of a configuration.
   *
   * @param configuration the configuration
   * @return the table
   */
  public static RouteTable of(Configuration configuration) {
    Map<String, List<Route>> routes = new HashMap<>();
    Map<ServiceName, ServicePolicy> services = new HashMap<>();
    ClientLimits limits = ClientLimits.DEFAULT;
    for (ConfigurationItem item : configuration.items()) {
      item.route()
          .ifPresent(r -> routes.computeIfAbsent(hostOf(r.host()), h -> new ArrayList<>()).add(r));
      item.service().ifPresent(s -> services.put(s.name(), s));
      limits = item.limits().orElse(limits);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.pathPrefix().length());
    routes.values().forEach(list -> list.sort(longestFirst));
    return new RouteTable(configuration.version(), routes, services, limits.applicable());
  }

  /**
   * Returns a table without routes.
   *
   * @return the table of the empty configuration, version 0
   */
  public static RouteTable empty() {
    return EMPTY;
  }

  /**
   * Returns the version of the configuration.
   *
   * @return the version, 0 when nothing is configured
   */
  public long version() {
    return version;
  }

  /**
   * Returns the limits on clients.
   *
   * @return the limits, each of which a server can apply
   */
  public ClientLimits limits() {
    return limits;
  }

  /**
   * Finds a service.
   *
   * @param name the service
   * @return its policy, or empty when it is not configured
   */
  public Optional<ServicePolicy> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds the route of a request.
   *
   * @param host value of the Host header; the port is ignored
   * @param uri path and query
   * @return the route, or empty when none matches
   */
  public Optional<Route> find(String host, String uri) {
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    return routesByHost.getOrDefault(hostOf(host), List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }

  private static String hostOf(String header) {
    int colon = header.lastIndexOf(':');
    return (colon < 0 ? header : header.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
