package io.coltsfootwheel.tool;

import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Command that reads one value from the operators' interface and prints it. */
final class ReadCommand<T> implements Subcommand {
  private final String name;
  private final String summary;
  private final String arguments;
  private final Options options;
  private final Function<CommandLine, String> path;
  private final Class<T> type;
  private final Function<T, String> render;

  ReadCommand(
      String name,
      String summary,
      String arguments,
      Options options,
      Function<CommandLine, String> path,
      Class<T> type,
      Function<T, String> render) {
    this.name = name;
    this.summary = summary;
    this.arguments = arguments;
    this.options =
        CommandOptions.add(options)
            .addOption(CommandOptions.flag(CommandOptions.JSON, "print the response as JSON"));
    this.path = path;
    this.type = type;
    this.render = render;
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
    String resolved = path.apply(line);
    T value = CommandOptions.client(line).get(resolved, type);
    boolean json = line.hasOption(CommandOptions.JSON);
    console.out().println(json ? ToolJson.toPrettyJson(value) : render.apply(value));
    return ExitCode.OK;
  }
}
