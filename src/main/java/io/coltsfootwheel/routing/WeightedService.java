package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;

/**
 * Destination of a share of the traffic of a route.
 *
 * @param service the service
 * @param weight share of the traffic, relative to the other weights of the route
 */
public record WeightedService(ServiceName service, double weight) {}
