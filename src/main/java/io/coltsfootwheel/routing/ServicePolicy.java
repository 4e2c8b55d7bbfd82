package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;

/**
 * What the router must know of a service.
 *
 * @param name the service
 * @param keyed true when each key is held by one target
 * @param maxConnections connections that one target accepts from all callers together
 */
public record ServicePolicy(ServiceName name, boolean keyed, int maxConnections) {}
