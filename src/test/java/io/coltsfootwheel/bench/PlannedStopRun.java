package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.bench.CallRecord.Result;
import io.coltsfootwheel.bench.FleetSpec.ServiceTargets;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/**
 * Stops real daemons in a seeded series while callers send requests, and checks that no request was
 * lost, ran twice, or was reported as not run although it ran.
 */
final class PlannedStopRun {
  /**
   * A request that was not passed on may cross the close of its connection; the users' rules allow
   * this time from its last byte to the end of the connection.
   */
  private static final long LOSS_SLACK_MILLIS = 200;

  private static final int DAEMONS = 5;
  private static final int CONTROL_MEMBERS = 3;
  private static final int CALLERS = 16;
  private static final int CALLER_JOIN_MILLIS = 20_000;
  private static final int DEFAULT_SECONDS = 15;

  /**
   * Result of one run.
   *
   * @param requests number of requests by result
   * @param stops number of daemons that got SIGTERM
   * @param violations one line for each violation
   */
  record Report(Map<Result, Long> requests, int stops, List<String> violations) {}

  private final Path projectFolder;
  private final Path folder;
  private final long seed;
  private final int seconds;

  PlannedStopRun(Path projectFolder, Path folder, long seed, int seconds) {
    this.projectFolder = projectFolder;
    this.folder = folder;
    this.seed = seed;
    this.seconds = seconds;
  }

  /**
   * Runs seeds one after the other.
   *
   * @param arguments {@code [--seed N] [--seeds COUNT] [--seconds N]}
   * @throws Exception when a fleet does not start
   */
  public static void main(String[] arguments) throws Exception {
    Options options = new Options();
    options.addOption(null, "seed", true, "first seed");
    options.addOption(null, "seeds", true, "number of seeds");
    options.addOption(null, "seconds", true, "length of each run");
    CommandLine line = new DefaultParser().parse(options, arguments);
    long firstSeed = Long.parseLong(line.getOptionValue("seed", "1"));
    long seeds = Long.parseLong(line.getOptionValue("seeds", "1"));
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "" + DEFAULT_SECONDS));
    Path projectFolder = Path.of(System.getProperty("coltsfootwheel.home"));
    boolean violated = false;
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      Path folder = Files.createTempDirectory("planned-stops-");
      Report report = new PlannedStopRun(projectFolder, folder, seed, seconds).run();
      report.violations().forEach(System.out::println);
      System.out.printf(
          "seed=%d stops=%d requests=%s violations=%d%s%n",
          seed,
          report.stops(),
          report.requests(),
          report.violations().size(),
          report.violations().isEmpty() ? "" : " files in " + folder);
      if (report.violations().isEmpty()) {
        DataFolderCorruption.delete(folder);
      }
      violated |= !report.violations().isEmpty();
    }
    System.exit(violated ? 1 : 0);
  }

  /** Starts the fleet, stops daemons under load, and checks the records of the callers. */
  Report run() throws Exception {
    Random random = new Random(seed);
    Queue<CallRecord> records = new ConcurrentLinkedQueue<>();
    try (Fleet fleet = Fleet.start(projectFolder, folder, spec(), Set.of())) {
      List<KeepAliveCaller> callers = new ArrayList<>();
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        KeepAliveCaller caller =
            new KeepAliveCaller("c" + i, fleet, new Random(random.nextLong()), records::add);
        callers.add(caller);
        Thread thread = new Thread(caller, "caller-" + i);
        // A run that fails must not wait for its callers.
        thread.setDaemon(true);
        threads.add(thread);
      }
      threads.forEach(Thread::start);
      StopSeries series = new StopSeries(fleet, random);
      series.run(seconds);
      callers.forEach(KeepAliveCaller::stop);
      for (Thread thread : threads) {
        thread.join(CALLER_JOIN_MILLIS);
      }
      TimeUnit.MILLISECONDS.sleep(LOSS_SLACK_MILLIS);
      List<String> violations = new ArrayList<>(series.violations());
      violations.addAll(violations(records, executions(fleet)));
      Map<Result, Long> counts =
          records.stream()
              .collect(
                  Collectors.groupingBy(CallRecord::result, TreeMap::new, Collectors.counting()));
      return new Report(counts, series.stops(), violations);
    }
  }

  private static List<String> violations(
      Queue<CallRecord> records, Map<String, Integer> executions) {
    List<String> violations = new ArrayList<>();
    for (CallRecord record : records) {
      int runs = executions.getOrDefault(record.id(), 0);
      if (runs > 1) {
        violations.add("ran " + runs + " times: " + record);
      }
      if (record.result() == Result.NOT_RUN && runs > 0) {
        violations.add("ran, but was refused as not run: " + record);
      }
      if (record.result() == Result.CUT
          && (runs > 0 || record.waitedMillis() > LOSS_SLACK_MILLIS)) {
        violations.add("lost, ran " + runs + " times: " + record);
      }
      if (record.result() == Result.SILENT || record.result() == Result.UNKNOWN) {
        violations.add("no answer of the target, ran " + runs + " times: " + record);
      }
    }
    return violations;
  }

  private static Map<String, Integer> executions(Fleet fleet) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    Map<String, Integer> executions = new HashMap<>();
    for (Path file : fleet.executionFiles()) {
      for (String line : Files.readAllLines(file)) {
        executions.merge(mapper.readTree(line).path("loadRequest").asText(), 1, Integer::sum);
      }
    }
    return executions;
  }

  private static FleetSpec spec() {
    return new FleetSpec(
        "planned-stops",
        DAEMONS,
        CONTROL_MEMBERS,
        List.of(
            new ServiceTargets("ledger", true, 24, "availability", 6, 2, 20, true),
            new ServiceTargets("books", false, 0, "", 2, 2, 60, true)),
        1,
        FleetSpec.C1_ONLY);
  }
}
