package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Selects a subcommand by name, parses its options and maps failures to exit codes. */
final class CommandLineTool {
  private static final String HELP = "help";
  private static final int HELP_WIDTH = 100;

  private final Console console;
  private final List<Subcommand> subcommands;

  CommandLineTool(Console console) {
    this.console = console;
    this.subcommands =
        List.of(
            new CheckConfigCommand(),
            status(),
            targets(),
            new TargetCommand(),
            owner(),
            new RouteCommand(),
            new ExplainCommand(explain(), System.in),
            new MembersCommand(),
            new ListsCommand(),
            new BurnCommand(),
            new LoadCommand(),
            new MatchCommand(),
            new CompletionCommand(this::subcommands));
  }

  List<Subcommand> subcommands() {
    return subcommands;
  }

  ExitCode run(String... arguments) {
    if (arguments.length == 0 || isHelp(arguments[0])) {
      console.out().println(overview());
      return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
    Optional<Subcommand> subcommand =
        subcommands.stream().filter(candidate -> candidate.name().equals(arguments[0])).findFirst();
    if (subcommand.isEmpty()) {
      console.err().println("unknown command '" + arguments[0] + "'; see coltsfootwheel --help");
      return ExitCode.USAGE;
    }
    return run(subcommand.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
  }

  private ExitCode run(Subcommand subcommand, String[] arguments) {
    try {
      if (Arrays.stream(arguments).anyMatch(CommandLineTool::isHelp)) {
        console.out().println(help(subcommand));
        return ExitCode.OK;
      }
      CommandLine commandLine = new DefaultParser(false).parse(subcommand.options(), arguments);
      return subcommand.run(commandLine, console);
    } catch (ParseException e) {
      console
          .err()
          .println(e.getMessage() + "; see coltsfootwheel " + subcommand.name() + " --help");
      return ExitCode.USAGE;
    } catch (ToolException e) {
      console.err().println(e.getMessage());
      return e.exitCode();
    }
  }

  private static boolean isHelp(String argument) {
    return argument.equals("--" + HELP) || argument.equals("-h");
  }

  private String overview() {
    StringBuilder text = new StringBuilder("usage: coltsfootwheel COMMAND [OPTION]...\n\n");
    subcommands.forEach(
        candidate -> text.append("  %-13s %s%n".formatted(candidate.name(), candidate.summary())));
    text.append("\nexit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("  %d  %s%n".formatted(code.code(), code.description()));
    }
    return text.append("\n'coltsfootwheel COMMAND --help' shows the options.").toString();
  }

  @SuppressWarnings("deprecation")
  private static String help(Subcommand subcommand) {
    StringWriter text = new StringWriter();
    PrintWriter writer = new PrintWriter(text);
    String usage = "coltsfootwheel " + subcommand.name() + " [OPTION]... " + subcommand.arguments();
    new org.apache.commons.cli.HelpFormatter()
        .printHelp(writer, HELP_WIDTH, usage, subcommand.summary(), subcommand.options(), 2, 2, "");
    return text.toString().stripTrailing();
  }

  private static Subcommand status() {
    return new ReadCommand<>(
        "status",
        "Shows instances, services, targets and alarms.",
        "",
        new Options(),
        commandLine -> "/v1/status",
        OperatorApi.Status.class,
        TextRenderer::status);
  }

  private static Subcommand targets() {
    return new ReadCommand<>(
        "targets",
        "Shows the targets.",
        "",
        new Options(),
        commandLine -> "/v1/targets",
        OperatorApi.Targets.class,
        TextRenderer::targets);
  }

  private static Subcommand owner() {
    return new ReadCommand<>(
        "owner",
        "Shows which target owns a key.",
        "--service S KEY",
        new Options().addOption(CommandOptions.option("service", "S", "the keyed service")),
        CommandLineTool::ownerPath,
        OperatorApi.Owner.class,
        TextRenderer::owner);
  }

  private static Subcommand explain() {
    return new ReadCommand<>(
        "explain",
        "Shows why targets were given or lost hash slots and grants.",
        "[SUBJECT]",
        new Options(),
        CommandLineTool::explainPath,
        OperatorApi.Explanation.class,
        TextRenderer::explanation);
  }

  private static String ownerPath(CommandLine commandLine) {
    if (!commandLine.hasOption("service") || commandLine.getArgList().size() != 1) {
      throw ToolException.usage("owner takes --service S and one KEY");
    }
    return "/v1/owner?service="
        + urlEncode(commandLine.getOptionValue("service"))
        + "&key="
        + urlEncode(commandLine.getArgList().get(0));
  }

  private static String explainPath(CommandLine commandLine) {
    List<String> subjects = commandLine.getArgList();
    if (subjects.size() > 1) {
      throw ToolException.usage("explain takes at most one SUBJECT");
    }
    return subjects.isEmpty() ? "/v1/explain" : "/v1/explain?subject=" + urlEncode(subjects.get(0));
  }

  private static String urlEncode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
