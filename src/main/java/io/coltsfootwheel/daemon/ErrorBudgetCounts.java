package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.ServiceName;
import java.util.Map;

/**
 * Request counts of one service, recorded by one instance over a window that ends now.
 *
 * @param service the service
 * @param windowSeconds length of the window
 * @param answered requests answered by a target in time
 * @param late requests answered by a target after the time of the objective or, without an
 *     objective, after their deadline
 * @param lost requests without a complete response from a target
 * @param notRun lost requests that no target executed
 * @param unknown lost requests whose outcome is unknown
 * @param refused requests rejected for an error or a limit of the caller; not part of the lost ones
 * @param churnSlots hash slots whose owner has changed, as observed by the instance
 * @param unavailableMillis time in which the instance rejected requests because no owner was usable
 * @param answeredByTarget complete responses by target name
 */
record ErrorBudgetCounts(
    ServiceName service,
    int windowSeconds,
    long answered,
    long late,
    long lost,
    long notRun,
    long unknown,
    long refused,
    long churnSlots,
    long unavailableMillis,
    Map<String, Long> answeredByTarget) {
  /** Makes a defensive copy of the map. */
  ErrorBudgetCounts {
    answeredByTarget = Map.copyOf(answeredByTarget);
  }
}
