package io.coltsfootwheel.deployment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/** Command line of the run: plays one seed after the other and prints what each one broke. */
final class DeploymentRuns {
  private DeploymentRuns() {}

  /** Plays the seeds; the exit status is 0 only when no rule was broken. */
  public static void main(String[] arguments) throws Exception {
    Options options =
        new Options()
            .addOption(null, "seed", true, "first seed")
            .addOption(null, "seeds", true, "number of seeds")
            .addOption(null, "seconds", true, "seconds of faults")
            .addOption(null, "faults", true, "none, all or names of faults, with commas")
            .addOption(null, "large", true, "largest number of changes with many routes")
            .addOption(null, "end", true, "all or names of final faults, with commas")
            .addOption(null, "keep", true, "folder for settings, data and logs");
    CommandLine line = new DefaultParser().parse(options, arguments);
    long first = Long.parseLong(line.getOptionValue("seed", "1"));
    int count = Integer.parseInt(line.getOptionValue("seeds", "1"));
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "40"));
    List<Fault> faults = Fault.parse(line.getOptionValue("faults", "kill,stop,pause"));
    int maxLargeChanges = Integer.parseInt(line.getOptionValue("large", "0"));
    List<FinalFault> finalFaults = FinalFault.parse(line.getOptionValue("end", "kill"));
    int violationCount = 0;
    for (long seed = first; seed < first + count; seed++) {
      Path folder = folder(line, seed);
      System.out.printf("seed %d, faults %s, %d s, logs in %s%n", seed, faults, seconds, folder);
      violationCount +=
          play(new RunPlan(seed, faults, maxLargeChanges, finalFaults), seconds, folder);
    }
    System.exit(violationCount == 0 ? 0 : 1);
  }

  private static int play(RunPlan plan, int seconds, Path folder) throws Exception {
    try (DeploymentRun run = new DeploymentRun(plan, folder, launch())) {
      DeploymentRun.Result result = run.run(seconds);
      System.out.println("seed " + plan.seed() + ": " + result.summary());
      result.violations().forEach(v -> System.out.println("seed " + plan.seed() + ": " + v));
      return result.violations().size();
    }
  }

  private static UnaryOperator<DeployFile.Role> launch() {
    return DeployFile.isBuilt(Path.of(""))
        ? UnaryOperator.identity()
        : role -> role.fromClasses(System.getProperty("java.class.path"));
  }

  private static Path folder(CommandLine line, long seed) throws Exception {
    String prefix = "deployment-run-" + seed + "-";
    return line.hasOption("keep")
        ? Files.createDirectories(
            Path.of(line.getOptionValue("keep")).toAbsolutePath().resolve("seed-" + seed))
        : Files.createTempDirectory(prefix);
  }
}
