package io.coltsfootwheel.link;

import java.util.concurrent.TimeUnit;

/**
 * Attempts to open a connection in place of one that has left a probe unanswered. Guarded by the
 * lock of the {@link OutboundConnection}.
 */
final class Replacement {
  private final long probeSentNanos;
  private final long startNanos = System.nanoTime();
  private boolean isAttemptOpen;
  private int failedAttempts;

  /**
   * Creates a replacement without a first attempt.
   *
   * @param probeSentNanos time at which the unanswered probe was sent
   */
  Replacement(long probeSentNanos) {
    this.probeSentNanos = probeSentNanos;
  }

  long probeSentNanos() {
    return probeSentNanos;
  }

  int failedAttempts() {
    return failedAttempts;
  }

  long unansweredMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - probeSentNanos);
  }

  boolean isOlderThan(long millis) {
    return System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Begins an attempt; returns false while one is under way. */
  boolean beginAttempt() {
    boolean isFirst = !isAttemptOpen;
    isAttemptOpen = true;
    return isFirst;
  }

  /** Records that the attempt under way has failed. */
  void attemptFailed() {
    isAttemptOpen = false;
    failedAttempts++;
  }
}
