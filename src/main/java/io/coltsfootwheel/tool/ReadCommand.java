package io.coltsfootwheel.tool;

import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Subcommand that gets one value from the operators' interface and prints it. */
final class ReadCommand<T> implements Subcommand {
  private final String name;
  private final String summary;
  private final String arguments;
  private final Options options;
  private final Function<CommandLine, String> pathOf;
  private final Class<T> responseType;
  private final Function<T, String> renderer;

  ReadCommand(
      String name,
      String summary,
      String arguments,
      Options options,
      Function<CommandLine, String> pathOf,
      Class<T> responseType,
      Function<T, String> renderer) {
    this.name = name;
    this.summary = summary;
    this.arguments = arguments;
    this.options =
        CommandOptions.add(options)
            .addOption(CommandOptions.flag(CommandOptions.JSON, "print the response as JSON"));
    this.pathOf = pathOf;
    this.responseType = responseType;
    this.renderer = renderer;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String summary() {
    return summary;
  }

  @Override
  public String arguments() {
    return arguments;
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    String requestPath = pathOf.apply(line);
    T value = CommandOptions.client(line).get(requestPath, responseType);
    boolean json = line.hasOption(CommandOptions.JSON);
    console.out().println(json ? ToolJson.toPrettyJson(value) : renderer.apply(value));
    return ExitCode.OK;
  }
}
