package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.bench.FleetSpec.ServiceTargets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/** Runs one {@link FaultScenario} on real processes and prints the outcome of the load. */
public final class ProcessRun {
  private static final int DAEMONS = 5;
  private static final int CONTROL_MEMBERS = 3;
  private static final int KEYED_TARGETS = 6;
  private static final int UNKEYED_TARGETS = 2;
  private static final int HASH_SLOTS = 24;
  private static final int SLOTS = 2;
  private static final int SERVICE_MILLIS = 5;
  // About 10 requests per second for each hash slot, which shows unavailable times of 100 ms.
  private static final int REQUESTS_PER_SECOND = 300;
  private static final int DEFAULT_LOAD_SECONDS = 12;
  private static final int MAX_LOAD_SECONDS = 60;
  private static final int WARM_UP_SECONDS = 4;
  // Three seconds of load, after which the driver has warmed up; an execution is a line of 150
  // bytes.
  private static final long STEADY_LOAD_BYTES = 3 * 150L * REQUESTS_PER_SECOND;

  private ProcessRun() {}

  /**
   * Runs a scenario.
   *
   * @param arguments {@code SCENARIO [--seconds N] [--keep]}
   * @throws Exception when the fleet does not start or the fault cannot be injected
   */
  public static void main(String[] arguments) throws Exception {
    CommandLine commandLine =
        new DefaultParser()
            .parse(
                new Options()
                    .addOption(
                        null,
                        "seconds",
                        true,
                        "length of the load in seconds (default 12, maximum 60)")
                    .addOption(
                        null, "keep", false, "keep the folder of logs, settings and records"),
                arguments);
    FaultScenario scenario = FaultScenario.of(commandLine.getArgList().get(0));
    int loadSeconds =
        Math.min(
            MAX_LOAD_SECONDS,
            Integer.parseInt(commandLine.getOptionValue("seconds", "" + DEFAULT_LOAD_SECONDS)));
    Path folder = Files.createTempDirectory("process-run-");
    System.out.println("files are in " + folder);
    boolean noViolation = run(scenario, loadSeconds, folder);
    if (noViolation && !commandLine.hasOption("keep")) {
      DataFolderCorruption.delete(folder);
    }
    System.exit(noViolation ? 0 : 1);
  }

  private static boolean run(FaultScenario scenario, int loadSeconds, Path folder)
      throws Exception {
    Path projectFolder = Path.of(System.getProperty("coltsfootwheel.home"));
    FleetSpec spec = spec(scenario);
    try (Fleet fleet = Fleet.start(projectFolder, folder, spec, scenario.isolatedTargets())) {
      scenario.failedInstance = scenario.instance(fleet).orElse("");
      System.out.printf("scenario %s %s%n", scenario.commandName(), scenario.failedInstance);
      LoadRun.start(fleet, "warm-up", "256m", loadOptions(WARM_UP_SECONDS))
          .awaitSummary(WARM_UP_SECONDS);
      fleet.awaitReady();
      long bytesBefore = fleet.executionBytes();
      LoadRun loadRun = LoadRun.start(fleet, "load", "256m", loadOptions(loadSeconds));
      fleet.await(
          "steady load",
          loadSeconds,
          () -> fleet.executionBytes() - bytesBefore > STEADY_LOAD_BYTES);
      scenario.injectFault(fleet);
      System.out.println("fault injection done, load still running: " + loadRun.isRunning());
      System.out.println(withoutLogLines(loadRun.awaitSummary(loadSeconds)));
      return report(fleet, scenario, loadRun);
    }
  }

  private static boolean report(Fleet fleet, FaultScenario scenario, LoadRun loadRun)
      throws Exception {
    List<JsonNode> records = loadRun.records();
    System.out.println("lost by code: " + LoadRun.lostByCode(records));
    if (scenario.drainStartMillis > 0) {
      long lastMillis = lastExecutionMillis(fleet.executions(FaultScenario.FAULTY_TARGET));
      System.out.printf(
          "last execution %d ms after the start of the drain%n",
          lastMillis - scenario.drainStartMillis);
    }
    String match = loadRun.matchExecutions();
    System.out.println(match);
    System.out.println(
        loadRun.unavailableTimes(records, sentToHealthyEntry(fleet, scenario)).summary());
    return match.endsWith("no violation");
  }

  /** Removes the driver's log lines about broken connections, which precede its summary. */
  private static String withoutLogLines(String output) {
    return output.substring(Math.max(0, output.lastIndexOf("\nsent ") + 1));
  }

  /**
   * Accepts requests that the driver first sent to an entry other than the failed instance. The
   * platform's balancer stops sending to a failed entry, but the driver does not, so requests that
   * it first sent there do not count as unavailable time of their keys.
   */
  private static Predicate<JsonNode> sentToHealthyEntry(Fleet fleet, FaultScenario scenario) {
    int entries = fleet.settings().daemons().size();
    int failedEntry =
        fleet.settings().daemons().stream()
            .map(daemon -> daemon.id())
            .toList()
            .indexOf(scenario.failedInstance);
    return record -> record.path("number").asInt() % entries != failedEntry;
  }

  private static long lastExecutionMillis(Path file) throws Exception {
    ObjectMapper mapper = new ObjectMapper();
    long lastMillis = 0;
    try (Stream<String> lines = Files.lines(file)) {
      for (String line : (Iterable<String>) lines::iterator) {
        lastMillis =
            Math.max(lastMillis, mapper.readTree(line).path("epochMicros").asLong() / 1_000);
      }
    }
    return lastMillis;
  }

  private static FleetSpec spec(FaultScenario scenario) {
    boolean checksFences = scenario.checksFences();
    return new FleetSpec(
        "process-run",
        DAEMONS,
        CONTROL_MEMBERS,
        List.of(
            new ServiceTargets(
                "ledger",
                true,
                HASH_SLOTS,
                "availability",
                KEYED_TARGETS,
                SLOTS,
                SERVICE_MILLIS,
                checksFences),
            new ServiceTargets(
                "books", false, 0, "", UNKEYED_TARGETS, SLOTS, SERVICE_MILLIS, checksFences)),
        1,
        FleetSpec.C1_ONLY);
  }

  private static List<String> loadOptions(int loadSeconds) {
    return List.of(
        "--rate",
        "" + REQUESTS_PER_SECOND,
        "--duration-seconds",
        "" + loadSeconds,
        "--keys",
        "2000",
        "--deadline-millis",
        "5000",
        "--resend-not-run",
        "200");
  }
}
