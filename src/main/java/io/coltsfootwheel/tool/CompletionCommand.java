package io.coltsfootwheel.tool;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints a completion script for a shell. */
final class CompletionCommand implements Command {
  private final Supplier<List<Command>> commands;

  CompletionCommand(Supplier<List<Command>> commands) {
    this.commands = commands;
  }

  @Override
  public String name() {
    return "completion";
  }

  @Override
  public String summary() {
    return "Prints a completion script; use it with 'source <(coltsfootwheel completion bash)'.";
  }

  @Override
  public String arguments() {
    return "bash";
  }

  @Override
  public List<String> subcommands() {
    return List.of("bash");
  }

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    if (!line.getArgList().equals(List.of("bash"))) {
      throw ToolException.usage("completion takes 'bash'");
    }
    console.out().print(script());
    return ExitCode.OK;
  }

  private String script() {
    String names = commands.get().stream().map(Command::name).collect(Collectors.joining(" "));
    String cases =
        commands.get().stream().map(CompletionCommand::branch).collect(Collectors.joining());
    return """
        _coltsfootwheel() {
          local current="${COMP_WORDS[COMP_CWORD]}" words=""
          if [ "$COMP_CWORD" -eq 1 ]; then
            words="%s --help"
          else
            case "${COMP_WORDS[1]}" in
        %s    esac
          fi
          COMPREPLY=($(compgen -W "$words" -- "$current"))
        }
        complete -o default -F _coltsfootwheel coltsfootwheel
        """
        .formatted(names, cases);
  }

  private static String branch(Command command) {
    Stream<String> options =
        command.options().getOptions().stream().map(option -> "--" + option.getLongOpt());
    String words =
        Stream.of(command.subcommands().stream(), options, Stream.of("--help"))
            .flatMap(stream -> stream)
            .collect(Collectors.joining(" "));
    return "      %s) words=\"%s\" ;;\n".formatted(command.name(), words);
  }
}
