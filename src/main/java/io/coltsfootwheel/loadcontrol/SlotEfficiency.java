package io.coltsfootwheel.loadcontrol;

/**
 * Finds out whether a target completes more with half of its slots busy than with all.
 *
 * <p>Load pattern: a target that slows down before all of its slots are busy. Two measurements of
 * completed requests are compared by Little's law: the response time while at most half of the
 * slots are busy, from which the throughput at half of the slots follows, and the throughput while
 * all are busy. The concurrency of a window is the sum of the response times of the requests
 * completed in it, divided by its length, so it does not depend on the age of reports.
 *
 * <p>A target that becomes slower at any concurrency looks the same at first. Both measurements are
 * therefore discarded when one of them changes much, which after a general slowdown happens as soon
 * as half of the slots are free.
 */
final class SlotEfficiency {
  /** Age at which a measurement has lost most of its weight; targets change within seconds. */
  private static final double MEMORY_SECONDS = 30;

  /** Completed requests from which a measurement counts. */
  private static final double MIN_COMPLETED = 12;

  /** Completed requests from which a new value is compared with the measurement. */
  private static final int MIN_COMPARED = 8;

  /** Change of a measurement that shows another speed of the target. */
  private static final double CHANGED_SPEED_RATIO = 2.5;

  /**
   * Throughput with all slots busy, relative to that with half, from which it counts as a loss. It
   * is about 2 at a target that does not slow down, so random variation does not lead to a loss.
   */
  private static final double LOSS_RATIO = 0.8;

  private final int slots;
  private final Measurement halfBusy = new Measurement();
  private final Measurement allBusy = new Measurement();

  /** Completed requests per second of time, which is response time or elapsed time. */
  private static final class Measurement {
    private double completed;
    private double seconds;
    private double newCompleted;
    private double newSeconds;

    /** Adds a value, and returns whether the rate has changed much. */
    private boolean add(double addedCompleted, double addedSeconds) {
      newCompleted += addedCompleted;
      newSeconds += addedSeconds;
      if (newCompleted < MIN_COMPARED) {
        return false;
      }
      double ratio = isKnown() ? newCompleted / newSeconds / rate() : 1;
      completed += newCompleted;
      seconds += newSeconds;
      newCompleted = 0;
      newSeconds = 0;
      return ratio > CHANGED_SPEED_RATIO || ratio < 1 / CHANGED_SPEED_RATIO;
    }

    private boolean isKnown() {
      return completed >= MIN_COMPLETED;
    }

    private double rate() {
      return completed / seconds;
    }

    private void decay(double factor) {
      completed *= factor;
      seconds *= factor;
    }
  }

  SlotEfficiency(int slots) {
    this.slots = slots;
  }

  /**
   * Adds a window.
   *
   * @param windowSeconds length of the window
   * @param completed requests completed in it
   * @param responseSeconds sum of their response times, above 0
   */
  void add(double windowSeconds, int completed, double responseSeconds) {
    double factor = Math.exp(-windowSeconds / MEMORY_SECONDS);
    halfBusy.decay(factor);
    allBusy.decay(factor);
    double concurrency = responseSeconds / windowSeconds;
    boolean isChanged = false;
    if (concurrency <= slots / 2.0) {
      isChanged = halfBusy.add(completed, responseSeconds);
    } else if (concurrency >= slots) {
      isChanged = allBusy.add(completed, windowSeconds);
    }
    if (isChanged) {
      halfBusy.decay(0);
      allBusy.decay(0);
    }
  }

  /** Returns whether the target completes clearly more with half of its slots busy. */
  boolean isHalfBetter() {
    if (!halfBusy.isKnown() || !allBusy.isKnown()) {
      return false;
    }
    return allBusy.rate() < LOSS_RATIO * halfBusy.rate() * slots / 2;
  }
}
