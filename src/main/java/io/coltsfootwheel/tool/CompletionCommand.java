package io.coltsfootwheel.tool;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints a completion script for bash. */
final class CompletionCommand implements Subcommand {
  private final Supplier<List<Subcommand>> subcommands;

  CompletionCommand(Supplier<List<Subcommand>> subcommands) {
    this.subcommands = subcommands;
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
  public List<String> actions() {
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
    console.out().print(bashScript());
    return ExitCode.OK;
  }

  private String bashScript() {
    String names =
        subcommands.get().stream().map(Subcommand::name).collect(Collectors.joining(" "));
    String caseBranches =
        subcommands.get().stream().map(CompletionCommand::caseBranch).collect(Collectors.joining());
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
        .formatted(names, caseBranches);
  }

  private static String caseBranch(Subcommand subcommand) {
    Stream<String> options =
        subcommand.options().getOptions().stream().map(option -> "--" + option.getLongOpt());
    String words =
        Stream.of(subcommand.actions().stream(), options, Stream.of("--help"))
            .flatMap(stream -> stream)
            .collect(Collectors.joining(" "));
    return "      %s) words=\"%s\" ;;\n".formatted(subcommand.name(), words);
  }
}
