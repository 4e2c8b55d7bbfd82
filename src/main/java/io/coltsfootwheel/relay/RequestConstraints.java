package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.RouteKind;

/**
 * Properties of a request that determine the choice of its target.
 *
 * @param service service that it goes to
 * @param kind whether the request may be executed more than once
 * @param priority priority of the route; 0 is the highest
 * @param nowNanos monotonic time
 * @param remainingMillis time until the deadline
 * @param remainingObjectiveMillis time until the latency objective is missed, negative afterwards
 */
record RequestConstraints(
    ServiceName service,
    RouteKind kind,
    int priority,
    long nowNanos,
    long remainingMillis,
    long remainingObjectiveMillis) {}
