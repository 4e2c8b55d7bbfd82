package io.coltsfootwheel.routing;

import io.coltsfootwheel.model.ServiceName;

/**
 * Routing properties of a service.
 *
 * @param name the service
 * @param keyed true when each key is held by exactly one target
 * @param maxConnections connections that one target accepts from all callers together
 */
public record ServicePolicy(ServiceName name, boolean keyed, int maxConnections) {}
