package io.coltsfootwheel.tool;

/** Entry point of the command-line tool. */
public final class Main {
  private Main() {}

  /**
   * Runs one subcommand and exits with its exit code.
   *
   * @param arguments name of the subcommand, options and arguments
   */
  public static void main(String[] arguments) {
    ExitCode code = new CommandLineTool(new Console(System.out, System.err)).run(arguments);
    System.out.flush();
    System.exit(code.code());
  }
}
