package io.coltsfootwheel.node;

/**
 * Times of a stop of an entry within the grace period after which its process is killed.
 *
 * @param noticeMillis time for which the entry still serves but is not ready, in milliseconds
 * @param drainMillis longest time after it in which requests are completed, in milliseconds
 */
record StopSchedule(long noticeMillis, long drainMillis) {
  /** Longer than the two readiness checks, one second apart, that must fail. */
  private static final long MAX_NOTICE_MILLIS = 2_500;

  /** Share of the grace period that remains for closing the process after the drain. */
  private static final double RESERVED_SHARE = 0.1;

  /**
   * Divides a grace period.
   *
   * @param graceMillis the grace period in milliseconds
   * @return the times
   */
  static StopSchedule of(long graceMillis) {
    long noticeMillis = Math.min(MAX_NOTICE_MILLIS, graceMillis / 2);
    long reservedMillis = (long) (RESERVED_SHARE * graceMillis);
    return new StopSchedule(noticeMillis, graceMillis - noticeMillis - reservedMillis);
  }
}
