package io.coltsfootwheel.routing;

import java.util.Optional;

/**
 * One item of a configuration.
 *
 * @param key identity of the item
 * @param document the item as the operator wrote it, for reading it back unchanged
 * @param route content of a route
 * @param service content of a service
 * @param limits content of the limits
 */
public record ConfigurationItem(
    ItemKey key,
    String document,
    Optional<Route> route,
    Optional<ServicePolicy> service,
    Optional<ClientLimits> limits) {
  /**
   * Returns an item for a route.
   *
   * @param route the route
   * @param document the operator's text
   * @return the item
   */
  public static ConfigurationItem of(Route route, String document) {
    return new ConfigurationItem(
        new ItemKey(ItemType.ROUTE, route.name()),
        document,
        Optional.of(route),
        Optional.empty(),
        Optional.empty());
  }

  /**
   * Returns an item for a service.
   *
   * @param service the service
   * @param document the operator's text
   * @return the item
   */
  public static ConfigurationItem of(ServicePolicy service, String document) {
    return new ConfigurationItem(
        new ItemKey(ItemType.SERVICE, service.name().value()),
        document,
        Optional.empty(),
        Optional.of(service),
        Optional.empty());
  }

  /**
   * Returns an item for the limits.
   *
   * @param limits the limits
   * @param document the operator's text
   * @return the item
   */
  public static ConfigurationItem of(ClientLimits limits, String document) {
    return new ConfigurationItem(
        new ItemKey(ItemType.LIMITS, ""),
        document,
        Optional.empty(),
        Optional.empty(),
        Optional.of(limits));
  }
}
