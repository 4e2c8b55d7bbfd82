package io.coltsfootwheel.relay;

import io.coltsfootwheel.routing.Route;

/**
 * Decides whether a request may be sent once more after a call that brought no response for its
 * client.
 *
 * <p>Designed for targets that reject or fail many requests at once: what can't be repeated safely,
 * or not in time, is not repeated. {@link FleetRetryBudget} bounds the rest.
 */
final class RetryPolicy {
  /** A request is sent again only while more than this time remains until its deadline. */
  private static final long MIN_REMAINING_MILLIS = 40;

  private static final int MIN_SENDS = 2;

  private RetryPolicy() {}

  /**
   * Returns whether a request may be sent once more.
   *
   * @param route route of the request
   * @param isKeyed whether only the owner of its key can serve it
   * @param callMayHaveExecuted whether the target may have executed the last call
   * @param triedTargets number of targets that were called
   * @param sends number of calls
   * @param remainingMillis time until the deadline
   */
  static boolean allows(
      Route route,
      boolean isKeyed,
      boolean callMayHaveExecuted,
      int triedTargets,
      int sends,
      long remainingMillis) {
    boolean isRepeatable = !callMayHaveExecuted || route.kind().isIdempotent();
    boolean hasTargetsLeft = isKeyed || triedTargets < route.maxAttempts();
    boolean hasSendsLeft = sends < Math.max(MIN_SENDS, route.maxAttempts() + 1);
    return isRepeatable && hasTargetsLeft && hasSendsLeft && remainingMillis > MIN_REMAINING_MILLIS;
  }
}
