package io.coltsfootwheel.model;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * What one incarnation of a target has said of itself in its answers: that it is leaving, and for
 * how long it wants no requests. Not thread-safe.
 *
 * <p>A notice holds without the control leader. It ends with the incarnation, or a pause at its
 * end; no other answer ends it earlier.
 */
public final class TargetNotices {
  private OptionalLong leavingSinceNanos = OptionalLong.empty();
  private OptionalLong pausedUntilNanos = OptionalLong.empty();

  /** Creates the notices of a target that has said nothing yet. */
  public TargetNotices() {}

  /**
   * Records that the target says that it is leaving.
   *
   * @param nowNanos monotonic time
   * @return true for the first such notice
   */
  public boolean recordLeaving(long nowNanos) {
    boolean isFirst = leavingSinceNanos.isEmpty();
    if (isFirst) {
      leavingSinceNanos = OptionalLong.of(nowNanos);
    }
    return isFirst;
  }

  /**
   * Records that the target wants no requests for a time. A shorter pause does not end a longer
   * one.
   *
   * @param nowNanos monotonic time
   * @param millis length of the pause in milliseconds
   * @return true when the pause now ends later than before
   */
  public boolean recordPause(long nowNanos, long millis) {
    boolean isLonger = millis > remainingPauseMillis(nowNanos);
    if (isLonger) {
      pausedUntilNanos = OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    }
    return isLonger;
  }

  /**
   * Returns whether the target has said that it is leaving.
   *
   * @return true from the first such notice on
   */
  public boolean isLeaving() {
    return leavingSinceNanos.isPresent();
  }

  /**
   * Returns whether the target has been leaving for a time.
   *
   * @param nowNanos monotonic time
   * @param millis the time in milliseconds
   * @return true when the first notice is at least that old
   */
  public boolean isLeavingFor(long nowNanos, long millis) {
    return leavingSinceNanos.isPresent()
        && nowNanos - leavingSinceNanos.getAsLong() >= TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Returns the time for which the target still wants no requests.
   *
   * @param nowNanos monotonic time
   * @return milliseconds, rounded up; 0 when it wants requests
   */
  public long remainingPauseMillis(long nowNanos) {
    boolean isPaused = pausedUntilNanos.isPresent() && pausedUntilNanos.getAsLong() - nowNanos > 0;
    return isPaused
        ? TimeUnit.NANOSECONDS.toMillis(pausedUntilNanos.getAsLong() - nowNanos) + 1
        : 0;
  }
}
