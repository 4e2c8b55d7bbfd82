package io.coltsfootwheel.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the deadlines of each route's clients to estimate how long a client that retries after a
 * refusal has already waited.
 *
 * <p>Designed for many clients that retry at once. Each attempt states only the remaining time, so
 * a retry looks like a new request. It would be admitted as if its whole latency objective
 * remained, although little of it does, ahead of requests that can still be answered in time. The
 * longest recent deadline of a route is taken as the deadline of first attempts. Deadlines of first
 * attempts vary slightly, so only a clearly shorter deadline is treated as a retry.
 */
final class ClientDeadlineTracker {
  /** Length of a tracking period; shorter client deadlines take effect within two periods. */
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Fraction by which the deadline of a first attempt may be below the longest one. */
  private static final double SPREAD = 0.15;

  private final Map<String, LongestDeadline> byRoute = new HashMap<>();

  private static final class LongestDeadline {
    private long periodStartNanos;
    private long currentMillis;
    private long previousMillis;

    private LongestDeadline(long nowNanos) {
      periodStartNanos = nowNanos;
    }

    private long update(long nowNanos, long deadlineMillis) {
      if (nowNanos - periodStartNanos > PERIOD_NANOS) {
        periodStartNanos = nowNanos;
        previousMillis = currentMillis;
        currentMillis = 0;
      }
      currentMillis = Math.max(currentMillis, deadlineMillis);
      return Math.max(currentMillis, previousMillis);
    }
  }

  /**
   * Records the deadline of an attempt and estimates how long its client has already waited.
   *
   * @param nowNanos monotonic time
   * @param route name of the route of the request
   * @param statedMillis time for which the client still waits, if it stated one
   * @return milliseconds for which the client waited before this attempt; 0 for a first attempt or
   *     a request without a deadline
   */
  long waitedMillis(long nowNanos, String route, OptionalLong statedMillis) {
    if (statedMillis.isEmpty()) {
      return 0;
    }
    long deadlineMillis = statedMillis.getAsLong();
    LongestDeadline longest = byRoute.computeIfAbsent(route, r -> new LongestDeadline(nowNanos));
    double longestMillis = longest.update(nowNanos, deadlineMillis);
    boolean isFirst = deadlineMillis >= (1 - SPREAD) * longestMillis;
    return isFirst ? 0 : Math.round((1 - SPREAD / 2) * longestMillis) - deadlineMillis;
  }
}
