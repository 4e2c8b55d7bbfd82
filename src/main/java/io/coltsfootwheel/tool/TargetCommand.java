package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Declares a target gone, which means that it will never execute again, or starts to drain it. */
final class TargetCommand implements Subcommand {
  private static final List<String> ACTIONS = List.of("gone", "drain");

  private final Options options = CommandOptions.add(new Options());

  @Override
  public String name() {
    return "target";
  }

  @Override
  public String summary() {
    return "Declares a target gone (it will never execute again) or drains it.";
  }

  @Override
  public String arguments() {
    return "gone|drain ID";
  }

  @Override
  public List<String> actions() {
    return ACTIONS;
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    List<String> arguments = line.getArgList();
    if (arguments.size() != 2 || !ACTIONS.contains(arguments.get(0))) {
      throw ToolException.usage("target takes 'gone ID' or 'drain ID'");
    }
    TargetId target = parse(arguments.get(1));
    String path = "/v1/targets/" + target + "/" + arguments.get(0);
    OperatorClient.requireSuccess(CommandOptions.client(line).post(path, ""));
    console.out().println("target " + target + ": " + arguments.get(0) + " accepted");
    return ExitCode.OK;
  }

  private static TargetId parse(String text) {
    try {
      return TargetId.of(text);
    } catch (ColtsfootwheelException e) {
      throw ToolException.usage(e.getMessage());
    }
  }
}
