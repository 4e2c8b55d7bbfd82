package io.coltsfootwheel.relay;

import java.util.OptionalLong;

/**
 * Decides how long a request waits at an entry that has not received routes and targets yet.
 *
 * <p>Load: all processes restart at the same time. A refused client would spend one of its few
 * attempts on another entry that has just started too, while the routes arrive within a fraction of
 * a second.
 */
final class StartupWait {
  /** Part of the client's remaining time; the rest is enough for an attempt at another entry. */
  private static final double MAX_WAIT_RATIO = 1 / 3.0;

  /** Covers an election of the control leader and the first subscription. */
  private static final long MAX_WAIT_MILLIS = 1_000;

  private StartupWait() {}

  /**
   * Returns the longest time for which a request waits for routes.
   *
   * @param deadlineMillis time for which the client will wait, if it stated one
   * @return milliseconds
   */
  static long maxWaitMillis(OptionalLong deadlineMillis) {
    long remainingMillis = deadlineMillis.orElse(Long.MAX_VALUE);
    return (long) Math.min(MAX_WAIT_MILLIS, MAX_WAIT_RATIO * remainingMillis);
  }
}
