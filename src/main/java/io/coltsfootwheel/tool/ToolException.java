package io.coltsfootwheel.tool;

/** Failure of a subcommand, with its exit code and a message that includes the remedy. */
final class ToolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  private ToolException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  static ToolException of(ExitCode exitCode, String message) {
    return new ToolException(exitCode, message);
  }

  static ToolException usage(String message) {
    return new ToolException(ExitCode.USAGE, message);
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
