package io.coltsfootwheel.runtime;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late a thread processes its events, and reports the longest delay once an interval
 * while it is worth a report. Confined to that thread.
 *
 * <p>Usage: {@code monitor.record(nowNanos, event.nowNanos()).ifPresent(millis -> log(millis))}.
 */
public final class LatenessMonitor {
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long REPORTED_MILLIS = 100;

  private long intervalStartNanos;
  private long longestDelayNanos;

  /**
   * Creates a monitor.
   *
   * @param nowNanos monotonic time at which the first interval begins
   */
  public LatenessMonitor(long nowNanos) {
    this.intervalStartNanos = nowNanos;
  }

  /**
   * Records that an event is processed.
   *
   * @param nowNanos monotonic time
   * @param dueNanos time at which the event arrived or was due
   * @return the longest delay in milliseconds, when an interval ends in which an event was late
   */
  public OptionalLong record(long nowNanos, long dueNanos) {
    longestDelayNanos = Math.max(longestDelayNanos, nowNanos - dueNanos);
    if (nowNanos - intervalStartNanos < INTERVAL_NANOS) {
      return OptionalLong.empty();
    }
    long longestMillis = TimeUnit.NANOSECONDS.toMillis(longestDelayNanos);
    intervalStartNanos = nowNanos;
    longestDelayNanos = 0;
    return longestMillis >= REPORTED_MILLIS ? OptionalLong.of(longestMillis) : OptionalLong.empty();
  }
}
