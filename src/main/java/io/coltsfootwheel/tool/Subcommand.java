package io.coltsfootwheel.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Subcommand of the command-line tool. */
interface Subcommand {
  /** Returns the name by which the subcommand is called. */
  String name();

  /** Returns a description in one sentence, as shown in the list of commands. */
  String summary();

  /** Returns the syntax of the arguments, as shown in the usage line. */
  String arguments();

  /** Returns the possible first arguments if they select an action, for shell completion. */
  default List<String> actions() {
    return List.of();
  }

  /** Returns the options of the subcommand. */
  Options options();

  /**
   * Runs the subcommand.
   *
   * @throws ToolException with the exit code if it fails
   */
  ExitCode run(CommandLine line, Console console);
}
