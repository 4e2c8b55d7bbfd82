package io.coltsfootwheel.keyspace;

import java.util.concurrent.TimeUnit;

/**
 * Time per request of a service over all its targets, which changes rarely: a change alters the
 * estimates of all targets about which little is known, and these are then sent to all entries.
 */
final class UsualServiceTime {
  private static final double TIME_CONSTANT_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Completed requests, weighted by age, from which the first measurement is used. */
  private static final double MIN_COMPLETED = 20;

  /** Difference of the average from the value in use, from which it replaces this value. */
  private static final double OUTDATED_RATIO = 0.25;

  private double averageSeconds;
  private double usedSeconds = TargetLoad.secondsPerRequest(0, 0);
  private long updatedNanos;

  /**
   * Adds the current measurement, and returns the value to use.
   *
   * @param busySlotSeconds slot time of the requests completed lately
   * @param completed number of these requests
   */
  double update(long nowNanos, double busySlotSeconds, double completed) {
    if (completed >= MIN_COMPLETED) {
      double measured = TargetLoad.secondsPerRequest(busySlotSeconds, completed);
      double weight = Math.min(1, (nowNanos - updatedNanos) / TIME_CONSTANT_NANOS);
      averageSeconds =
          averageSeconds == 0 ? measured : averageSeconds + weight * (measured - averageSeconds);
      if (Math.abs(averageSeconds / usedSeconds - 1) > OUTDATED_RATIO) {
        usedSeconds = averageSeconds;
      }
    }
    updatedNanos = nowNanos;
    return usedSeconds;
  }
}
