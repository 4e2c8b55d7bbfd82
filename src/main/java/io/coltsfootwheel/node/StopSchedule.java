package io.coltsfootwheel.node;

/**
 * Times of a stop within the grace period after which its process is killed.
 *
 * @param noticeMillis time for which the process still serves but is not ready, in milliseconds
 * @param drainMillis longest time after it in which requests are completed, in milliseconds
 */
public record StopSchedule(long noticeMillis, long drainMillis) {
  /** Longer than the two readiness checks, one second apart, that must fail. */
  private static final long MAX_NOTICE_MILLIS = 2_500;

  /** Share of the grace period that remains for closing the process after the drain. */
  private static final double RESERVED_SHARE = 0.1;

  /**
   * Divides the grace period of a process whose callers check its readiness.
   *
   * @param graceMillis the grace period in milliseconds
   * @return the times
   */
  static StopSchedule of(long graceMillis) {
    long noticeMillis = Math.min(MAX_NOTICE_MILLIS, graceMillis / 2);
    return new StopSchedule(noticeMillis, endMillis(graceMillis) - noticeMillis);
  }

  /**
   * Returns the times of a process whose callers turn to another one when its listener closes.
   *
   * @param graceMillis the grace period in milliseconds
   * @return the times
   */
  public static StopSchedule withoutNotice(long graceMillis) {
    return new StopSchedule(0, endMillis(graceMillis));
  }

  private static long endMillis(long graceMillis) {
    return (long) ((1 - RESERVED_SHARE) * graceMillis);
  }
}
