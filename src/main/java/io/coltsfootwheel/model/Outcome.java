package io.coltsfootwheel.model;

import java.util.Optional;

/** Whether a request was executed, as far as the router knows when it responds with an error. */
public enum Outcome {
  /** The request was certainly not executed; it may be sent again. */
  NOT_RUN("not-run", true),
  /** The request was executed, but the response of the target is not available. */
  RUN("run", false),
  /** The request may have been executed, or may still be executed later. */
  UNKNOWN("unknown", false);

  private final String text;
  private final boolean retrySafe;

  Outcome(String text, boolean retrySafe) {
    this.text = text;
    this.retrySafe = retrySafe;
  }

  /**
   * Returns the value used in the header {@code Coltsfootwheel-Outcome}.
   *
   * @return {@code not-run}, {@code run} or {@code unknown}
   */
  public String text() {
    return text;
  }

  /**
   * Returns whether a non-idempotent request with this outcome may be sent again.
   *
   * @return true only for {@link #NOT_RUN}
   */
  public boolean isRetrySafe() {
    return retrySafe;
  }

  /**
   * Parses the header value.
   *
   * @param text the header value
   * @return the outcome, or empty when the text is not an outcome
   */
  public static Optional<Outcome> parse(String text) {
    for (Outcome outcome : values()) {
      if (outcome.text.equals(text)) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }
}
