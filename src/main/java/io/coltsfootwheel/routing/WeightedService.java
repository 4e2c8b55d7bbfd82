package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;

/**
 * Part of a route's traffic.
 *
 * @param service the service that receives it
 * @param weight share relative to the other parts of the route
 */
public record WeightedService(ServiceName service, double weight) {}
