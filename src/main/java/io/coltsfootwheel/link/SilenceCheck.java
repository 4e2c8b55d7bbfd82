package io.coltsfootwheel.link;

/** Tells whether an overdue answer on a connection shows that the connection is silent. */
interface SilenceCheck {
  /** Called for each probe. */
  void probeSent();

  /**
   * Tells whether the connection is silent. Asked again until it is, or until the probe is
   * answered.
   *
   * @param probeSentNanos time at which the unanswered probe was sent
   */
  boolean showsSilence(long probeSentNanos);
}
