package io.coltsfootwheel.tool;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Command of the tool. */
interface Command {
  /** Returns the word that selects the command. */
  String name();

  /** Returns one sentence for the list of commands. */
  String summary();

  /** Returns the arguments as shown in the usage line. */
  String arguments();

  /** Returns the first arguments that select a part of the command, for completion. */
  default List<String> subcommands() {
    return List.of();
  }

  /** Returns the options that the command takes. */
  Options options();

  /**
   * Runs the command.
   *
   * @throws ToolException with an exit code when it fails
   */
  ExitCode run(CommandLine line, Console console);
}
