package io.coltsfootwheel.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Compares the records of a load run with the executions at the targets. */
final class MatchCommand implements Subcommand {
  private static final String REQUESTS = "requests";
  private static final String EXECUTIONS = "executions";
  private static final String VERBOSE = "verbose";

  private final Options options =
      new Options()
          .addOption(CommandOptions.option(REQUESTS, "FILE", "records of a load run"))
          .addOption(
              CommandOptions.option(
                  EXECUTIONS, "FILE", "executions of a target; more files may follow as arguments"))
          .addOption(CommandOptions.flag(VERBOSE, "name every violation"))
          .addOption(CommandOptions.flag(CommandOptions.JSON, "print the result as JSON"));

  @Override
  public String name() {
    return "match";
  }

  @Override
  public String summary() {
    return "Compares what the targets executed with the records of a load run.";
  }

  @Override
  public String arguments() {
    return "--requests FILE --executions FILE...";
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    if (!line.hasOption(REQUESTS) || !line.hasOption(EXECUTIONS)) {
      throw ToolException.usage("match takes --requests FILE and --executions FILE...");
    }
    List<RequestRecord> requests = readRecords(line.getOptionValue(REQUESTS), RequestRecord.class);
    List<ExecutionRecord> executions = new ArrayList<>();
    Stream.concat(Arrays.stream(line.getOptionValues(EXECUTIONS)), line.getArgList().stream())
        .forEach(file -> executions.addAll(readRecords(file, ExecutionRecord.class)));
    MatchResult result = MatchResult.of(requests, executions);
    boolean json = line.hasOption(CommandOptions.JSON);
    console.out().println(json ? ToolJson.toPrettyJson(result) : result.text());
    if (line.hasOption(VERBOSE)) {
      result.violations().forEach(console.err()::println);
    }
    return result.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private static <T> List<T> readRecords(String file, Class<T> type) {
    try {
      List<String> lines = Files.readAllLines(Path.of(file));
      List<T> values = new ArrayList<>();
      for (int i = 0; i < lines.size(); i++) {
        values.add(ToolJson.read(lines.get(i), type, file + ": line " + (i + 1)));
      }
      return values;
    } catch (IOException e) {
      throw ToolException.of(ExitCode.FAILED, file + " cannot be read: " + e);
    }
  }
}
