package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.ServiceName;
import java.util.Map;

/**
 * Counts of one service at one instance over one window that ends now.
 *
 * @param service the service
 * @param windowSeconds length of the window
 * @param answered requests answered in time
 * @param late requests answered late
 * @param lost requests that got no response from a target
 * @param notRun lost requests that were not run
 * @param unknown lost requests whose outcome is unknown
 * @param refused requests refused for a fault or limit of their own
 * @param churnSlots ownership changes that the instance has seen
 * @param unavailableMillis time in which it refused requests for want of a usable owner
 * @param answeredByTarget responses by the name of the target
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
  /** Copies the map. */
  ErrorBudgetCounts {
    answeredByTarget = Map.copyOf(answeredByTarget);
  }
}
