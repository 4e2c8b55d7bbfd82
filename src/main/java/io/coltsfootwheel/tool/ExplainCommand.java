package io.coltsfootwheel.tool;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Explains the result of a request from logs, or ownership changes from the operators' interface.
 *
 * <p>With {@code --log} no instance needs to run: the logs are read from files, or from standard
 * input for {@code -}.
 */
final class ExplainCommand implements Subcommand {
  private static final String LOG = "log";
  private static final String STANDARD_INPUT = "-";

  private final Subcommand ownershipCommand;
  private final InputStream standardInput;
  private final Options options;

  /**
   * Creates the subcommand.
   *
   * @param ownershipCommand subcommand that is run without {@code --log}
   * @param standardInput standard input
   */
  ExplainCommand(Subcommand ownershipCommand, InputStream standardInput) {
    this.ownershipCommand = ownershipCommand;
    this.standardInput = standardInput;
    this.options = new Options();
    ownershipCommand.options().getOptions().forEach(options::addOption);
    options.addOption(
        CommandOptions.option(
            LOG, "FILE", "log of one or more processes, may be repeated; - is standard input"));
  }

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "Explains from logs why a request ended as it did,"
        + " or why targets gained or lost hash slots.";
  }

  @Override
  public String arguments() {
    return "[SUBJECT] | --log FILE [--log FILE]... REQUEST-ID";
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    if (!line.hasOption(LOG)) {
      return ownershipCommand.run(line, console);
    }
    if (line.getArgList().size() != 1) {
      throw ToolException.usage("explain --log takes one REQUEST-ID");
    }
    RequestTimeline timeline =
        RequestTimeline.of(line.getArgList().get(0), readLines(line.getOptionValues(LOG)).stream());
    if (timeline.unparsedLines() > 0) {
      console
          .err()
          .println(timeline.unparsedLines() + " log lines are not events and were skipped");
    }
    if (timeline.isEmpty()) {
      console
          .err()
          .println(
              "no log line of request "
                  + line.getArgList().get(0)
                  + "; only a sample of the answered requests is logged, but all others are");
      return ExitCode.FAILED;
    }
    console.out().println(timeline.render());
    return ExitCode.OK;
  }

  private List<String> readLines(String[] files) {
    return Arrays.stream(files).flatMap(this::readLines).toList();
  }

  private Stream<String> readLines(String file) {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(
                file.equals(STANDARD_INPUT) ? standardInput : Files.newInputStream(Path.of(file)),
                StandardCharsets.UTF_8))) {
      return reader.lines().toList().stream();
    } catch (IOException | UncheckedIOException e) {
      throw ToolException.of(ExitCode.FAILED, "log " + file + " cannot be read: " + e.getMessage());
    }
  }
}
