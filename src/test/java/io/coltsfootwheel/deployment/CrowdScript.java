package io.coltsfootwheel.deployment;

import java.util.Optional;

/**
 * What each connection of a crowd does.
 *
 * @param opening bytes that are sent once
 * @param repeated bytes that are sent again and again afterwards
 * @param repetitions how often the repeated bytes are sent
 * @param pauseMillis time between two repetitions, 0 for none
 * @param readsAnswers whether answers are read, and so the end of the connection is noticed
 * @param end what follows the last byte
 */
record CrowdScript(
    byte[] opening,
    byte[] repeated,
    int repetitions,
    long pauseMillis,
    boolean readsAnswers,
    End end) {
  /** What a connection does when all is sent. */
  enum End {
    /** It stays open. */
    HOLD,
    /** Its sending side is closed. */
    HALF_CLOSE,
    /** It is reset. */
    RESET
  }

  /** Returns a script that reads answers, makes no pauses and keeps its connections. */
  static CrowdScript of(byte[] opening, byte[] repeated, int repetitions) {
    return new CrowdScript(opening, repeated, repetitions, 0, true, End.HOLD);
  }

  CrowdScript endingWith(End newEnd) {
    return new CrowdScript(opening, repeated, repetitions, pauseMillis, readsAnswers, newEnd);
  }

  CrowdScript withPauses(long newPauseMillis) {
    return new CrowdScript(opening, repeated, repetitions, newPauseMillis, readsAnswers, end);
  }

  CrowdScript withoutReading() {
    return new CrowdScript(opening, repeated, repetitions, pauseMillis, false, end);
  }

  /** Returns the part with a number, 0 for the opening; empty behind the last one. */
  Optional<byte[]> part(int number) {
    if (number == 0) {
      return Optional.of(opening);
    }
    return number <= repetitions ? Optional.of(repeated) : Optional.empty();
  }
}
