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
 * @param awaitsPermit whether the request has waited for a permit since it was decided on last
 * @param dryRun whether the decision is only reported: it counts as no request then
 */
record RequestConstraints(
    ServiceName service,
    RouteKind kind,
    int priority,
    long nowNanos,
    long remainingMillis,
    long remainingObjectiveMillis,
    boolean awaitsPermit,
    boolean dryRun) {
  /** Creates the properties of a request that has not waited for a permit. */
  RequestConstraints(
      ServiceName service,
      RouteKind kind,
      int priority,
      long nowNanos,
      long remainingMillis,
      long remainingObjectiveMillis) {
    this(
        service, kind, priority, nowNanos, remainingMillis, remainingObjectiveMillis, false, false);
  }
}
