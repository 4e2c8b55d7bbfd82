package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Shows, compares and applies the lists of plans and allowances. */
final class ListsCommand implements Subcommand {
  private static final String BASE_REVISION = "base-revision";
  private static final String WRITE = "write";
  private static final String WAIT = "wait";
  private static final String WAIT_SECONDS = "wait-seconds";
  private static final int DEFAULT_WAIT_SECONDS = 30;

  private final Options options =
      CommandOptions.add(new Options())
          .addOption(CommandOptions.flag(CommandOptions.JSON, "print JSON"))
          .addOption(
              CommandOptions.option(
                  WRITE, "FOLDER", "show: write plans.toml and allowances.toml to the folder"))
          .addOption(
              CommandOptions.option(
                  BASE_REVISION, "N", "apply: revision on which the files are based"))
          .addOption(CommandOptions.flag(WAIT, "apply: wait until all instances applied the lists"))
          .addOption(
              CommandOptions.option(WAIT_SECONDS, "N", "maximum time of --wait (default 30)"));

  @Override
  public String name() {
    return "lists";
  }

  @Override
  public String summary() {
    return "Shows, compares or applies the lists of plans and allowances.";
  }

  @Override
  public String arguments() {
    return "show | diff FILE... | apply FILE...";
  }

  @Override
  public List<String> actions() {
    return List.of("show", "diff", "apply");
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    List<String> arguments = line.getArgList();
    String action = arguments.isEmpty() ? "" : arguments.get(0);
    List<Path> files = arguments.stream().skip(1).map(Path::of).toList();
    if (action.equals("show") && files.isEmpty()) {
      return show(line, console);
    }
    if (action.equals("diff") && !files.isEmpty()) {
      return diff(line, console, files);
    }
    if (action.equals("apply") && !files.isEmpty()) {
      return apply(line, console, files);
    }
    throw ToolException.usage("lists takes 'show', 'diff FILE...' or 'apply FILE...'");
  }

  private static ExitCode show(CommandLine line, Console console) {
    OperatorApi.Lists currentLists = fetchLists(CommandOptions.client(line));
    ListContents contents = ListContents.of(currentLists);
    if (line.hasOption(WRITE)) {
      writeFiles(Path.of(line.getOptionValue(WRITE)), currentLists.revision(), contents);
      console.out().println("revision " + currentLists.revision() + " written");
    } else if (line.hasOption(CommandOptions.JSON)) {
      console.out().println(ToolJson.toPrettyJson(currentLists));
    } else {
      console.out().println("# revision " + currentLists.revision() + "\n" + contents.toml());
    }
    return ExitCode.OK;
  }

  private static ExitCode diff(CommandLine line, Console console, List<Path> files) {
    ListContents newLists = ListsFileReader.read(files);
    OperatorApi.Lists currentLists = fetchLists(CommandOptions.client(line));
    List<String> difference = ListContents.of(currentLists).differencesTo(newLists);
    if (line.hasOption(CommandOptions.JSON)) {
      console
          .out()
          .println(ToolJson.toPrettyJson(new Difference(currentLists.revision(), difference)));
    } else {
      console.out().println("difference from revision " + currentLists.revision() + ":");
      console.out().println(differenceText(difference));
    }
    return ExitCode.OK;
  }

  private static ExitCode apply(CommandLine line, Console console, List<Path> files) {
    ListContents newLists = ListsFileReader.read(files);
    Path stateFile = ListsState.fileNextTo(files.get(0));
    ListsState state = ListsState.read(stateFile);
    int baseRevision = CommandOptions.integer(line, BASE_REVISION, -1, 0, Integer.MAX_VALUE);
    ListsState effectiveState = baseRevision < 0 ? state : state.withBaseRevision(baseRevision);
    OperatorClient client = CommandOptions.client(line);
    OperatorApi.Lists currentLists = fetchLists(client);
    List<String> difference = ListContents.of(currentLists).differencesTo(newLists);
    printDifference(console, difference);
    ListsApplier applier =
        new ListsApplier(client, console, stateFile, () -> UUID.randomUUID().toString());
    // A pending change is resent even without a difference, as the response shows whether it was
    // applied.
    boolean inForce =
        difference.isEmpty()
            && effectiveState.pending().isEmpty()
            && currentLists.revision() == effectiveState.baseRevision()
            && currentLists.revision() > 0;
    long revision =
        inForce ? currentLists.revision() : applier.apply(effectiveState, newLists, files);
    if (line.hasOption(CommandOptions.JSON)) {
      console.out().println(ToolJson.toPrettyJson(new OperatorApi.ListsAccepted(revision)));
    } else {
      console
          .out()
          .println("revision " + revision + (inForce ? " is in force already" : " accepted"));
    }
    if (!line.hasOption(WAIT)) {
      return ExitCode.OK;
    }
    int seconds = CommandOptions.integer(line, WAIT_SECONDS, DEFAULT_WAIT_SECONDS, 1, 3_600);
    return applier.waitUntilApplied(revision, Duration.ofSeconds(seconds));
  }

  private static OperatorApi.Lists fetchLists(OperatorClient client) {
    return client.get("/v1/lists", OperatorApi.Lists.class);
  }

  static void printDifference(Console console, List<String> difference) {
    console.err().println(differenceText(difference));
  }

  private static String differenceText(List<String> difference) {
    return difference.isEmpty() ? "no difference" : String.join(System.lineSeparator(), difference);
  }

  private static void writeFiles(Path folder, long revision, ListContents contents) {
    try {
      Files.createDirectories(folder);
      Files.writeString(folder.resolve("plans.toml"), contents.plansToml());
      Files.writeString(folder.resolve("allowances.toml"), contents.allowancesToml());
      new ListsState(revision, Optional.empty()).write(ListsState.fileIn(folder));
    } catch (IOException e) {
      throw ToolException.of(ExitCode.FAILED, folder + " cannot be written: " + e);
    }
  }

  /**
   * Output of {@code lists diff --json}.
   *
   * @param revision revision in force
   * @param difference one line for each entry that differs
   */
  record Difference(long revision, List<String> difference) {}
}
