package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import java.util.Arrays;

/** Exit codes of the command-line tool. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "done", false),
  /**
   * The command was rejected or found a fault, and changed nothing; or {@code lists apply --wait}
   * changed the lists, but not all instances applied them in time.
   */
  FAILED(1, "refused, or a fault was found", false),
  /** The command line is invalid. */
  USAGE(2, "wrong command line", false),
  /** The lists in force have another revision than the one that the change is based on. */
  CONFLICT(3, "the lists have another revision", false),
  /** No instance could be reached; no change was sent. */
  UNREACHABLE(4, "no instance could be reached", true),
  /** The command may have taken effect; it is safe to repeat it. */
  OUTCOME_UNKNOWN(5, "may have been carried out", true);

  private final int code;
  private final String description;
  private final boolean repeatSafe;

  ExitCode(int code, String description, boolean repeatSafe) {
    this.code = code;
    this.description = description;
    this.repeatSafe = repeatSafe;
  }

  /**
   * Returns the exit code for an error response.
   *
   * @param errorCode error code in the body of the response
   * @return {@link #OUTCOME_UNKNOWN} for errors after which the change may have been applied,
   *     otherwise {@link #FAILED}
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
   * Returns the description shown in the help text.
   *
   * @return a short phrase
   */
  public String description() {
    return description;
  }

  /**
   * Returns whether the same command should be repeated.
   *
   * @return true for {@link #UNREACHABLE} and {@link #OUTCOME_UNKNOWN}
   */
  public boolean isRepeatSafe() {
    return repeatSafe;
  }
}
