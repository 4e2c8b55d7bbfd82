package io.coltsfootwheel.link;

import java.util.concurrent.TimeUnit;

/**
 * Attempts to open a connection in place of one that has left a probe unanswered. Guarded by the
 * lock of its {@link OutboundConnection}.
 */
final class Replacement {
  /** What follows from an answer that is still overdue. */
  enum Step {
    /** An attempt is under way. */
    AWAIT,
    /** The next attempt is to be started. */
    CONNECT,
    /** No connection could be opened in time. */
    GIVE_UP
  }

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

  /** Returns the time at which the unanswered probe was sent. */
  long probeSentNanos() {
    return probeSentNanos;
  }

  /** Returns the time since the unanswered probe was sent, in milliseconds. */
  long unansweredMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - probeSentNanos);
  }

  /** Returns the number of attempts that have failed. */
  int failedAttempts() {
    return failedAttempts;
  }

  /**
   * Returns what follows now; an attempt counts as under way from then on.
   *
   * @param timeoutMillis time after which no further attempt is made, in milliseconds
   */
  Step nextStep(long timeoutMillis) {
    if (System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
      return Step.GIVE_UP;
    }
    if (isAttemptOpen) {
      return Step.AWAIT;
    }
    isAttemptOpen = true;
    return Step.CONNECT;
  }

  /** Records that the attempt under way has failed. */
  void attemptFailed() {
    isAttemptOpen = false;
    failedAttempts++;
  }
}
