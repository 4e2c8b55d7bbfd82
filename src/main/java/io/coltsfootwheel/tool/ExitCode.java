package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import java.util.Arrays;

/** Exit codes of the command-line tool. */
public enum ExitCode {
  /** The command did what it says. */
  OK(0, "done", false),
  /** The command was refused or found a fault; nothing was changed by it. */
  FAILED(1, "refused, or a fault was found", false),
  /** The command line is wrong. */
  USAGE(2, "wrong command line", false),
  /** The lists were changed by someone else since the revision that the change is based on. */
  CONFLICT(3, "the lists have another revision", false),
  /** No instance could be reached; nothing was sent. */
  UNREACHABLE(4, "no instance could be reached", true),
  /** The command may have been carried out; the same command may be given again. */
  OUTCOME_UNKNOWN(5, "may have been carried out", true);

  private final int code;
  private final String text;
  private final boolean repeatSafe;

  ExitCode(int code, String text, boolean repeatSafe) {
    this.code = code;
    this.text = text;
    this.repeatSafe = repeatSafe;
  }

  /**
   * Returns the exit code for an error response.
   *
   * @param errorCode code in the body of the response
   * @return {@link #OUTCOME_UNKNOWN} for codes whose outcome is unknown, otherwise {@link #FAILED}
   */
  public static ExitCode ofError(String errorCode) {
    return Arrays.stream(ErrorKind.values())
        .filter(kind -> kind.code().equals(errorCode))
        .findFirst()
        .filter(kind -> kind.outcome() == Outcome.UNKNOWN)
        .map(kind -> OUTCOME_UNKNOWN)
        .orElse(FAILED);
  }

  /**
   * Returns the exit status of the process.
   *
   * @return 0 to 5
   */
  public int code() {
    return code;
  }

  /**
   * Returns the meaning shown in the help.
   *
   * @return a short phrase
   */
  public String text() {
    return text;
  }

  /**
   * Tells whether giving the same command again is the right next step.
   *
   * @return true for {@link #UNREACHABLE} and {@link #OUTCOME_UNKNOWN}
   */
  public boolean isRepeatSafe() {
    return repeatSafe;
  }
}
