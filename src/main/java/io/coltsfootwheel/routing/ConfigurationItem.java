package io.coltsfootwheel.routing;

import java.util.Optional;

/**
 * Item of a configuration. Exactly one of the route, the service and the limits is present.
 *
 * @param key type and name of the item
 * @param document JSON text of the item from the operator, returned unchanged when it is read
 * @param route the route, for an item of type {@link ItemType#ROUTE}
 * @param service the service, for an item of type {@link ItemType#SERVICE}
 * @param limits the limits, for an item of type {@link ItemType#LIMITS}
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
   * @param document JSON text from the operator
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
   * @param document JSON text from the operator
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
   * @param document JSON text from the operator
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

  /**
   * Returns the item without the operator's text.
   *
   * @return item with the same key and content
   */
  ConfigurationItem withoutDocument() {
    return new ConfigurationItem(key, "", route, service, limits);
  }
}
