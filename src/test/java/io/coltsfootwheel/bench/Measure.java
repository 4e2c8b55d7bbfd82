package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.bench.FleetSpec.ServiceTargets;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/** Measures a deployment of docs/design.md section 1 at percentages of its keyed capacity. */
public final class Measure {
  private static final int DAEMONS = 6;
  private static final int CONTROL_MEMBERS = 3;
  private static final int TARGET_PROCESSES = 2;
  private static final int HASH_SLOTS = 1_024;
  private static final int[] LOAD_PERCENTAGES = {50, 80, 100, 150};
  private static final double[] ZIPF_EXPONENTS = {0, 0.8};
  private static final int WARM_UP_SECONDS = 5;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String deployment;
  private final int serviceMillis;
  private final int loadSeconds;

  private Measure(String deployment, int serviceMillis, int loadSeconds) {
    this.deployment = deployment;
    this.serviceMillis = serviceMillis;
    this.loadSeconds = loadSeconds;
  }

  /**
   * Prints one line for each load, first with uniformly and then with Zipf-distributed keys.
   *
   * @param arguments {@code maison-diop|harrowmere [--service-millis N] [--seconds N]}
   * @throws Exception when the fleet does not start or the driver fails
   */
  public static void main(String[] arguments) throws Exception {
    CommandLine commandLine =
        new DefaultParser()
            .parse(
                new Options()
                    .addOption(null, "service-millis", true, "execution time (default 5)")
                    .addOption(null, "seconds", true, "length of each load (default 10)"),
                arguments);
    Measure measurement =
        new Measure(
            commandLine.getArgList().get(0),
            Integer.parseInt(commandLine.getOptionValue("service-millis", "5")),
            Integer.parseInt(commandLine.getOptionValue("seconds", "10")));
    for (double exponent : ZIPF_EXPONENTS) {
      measurement.run(exponent);
    }
    System.exit(0);
  }

  /**
   * Measures all loads of one key distribution on a new fleet, so that moves of hot hash slots
   * under another distribution do not affect the result.
   */
  private void run(double exponent) throws Exception {
    Path folder = Files.createTempDirectory("measure-");
    Path projectFolder = Path.of(System.getProperty("coltsfootwheel.home"));
    FleetSpec spec = spec();
    System.out.printf(
        "%s, %d ms service time, Zipf %.1f, load average %.1f%n",
        deployment, serviceMillis, exponent, loadAverage());
    System.out.println(
        "| load | rate/s | answered | late | lost | p50 ms | p99 ms | max ms | imbalance"
            + " | goodput/s | match | load average |");
    try (Fleet fleet = Fleet.start(projectFolder, folder, spec, Set.of())) {
      startLoad(fleet, "warm-up", LOAD_PERCENTAGES[0], exponent, WARM_UP_SECONDS)
          .awaitSummary(WARM_UP_SECONDS);
      for (int percent : LOAD_PERCENTAGES) {
        LoadRun run = startLoad(fleet, "load-" + percent, percent, exponent, loadSeconds);
        String output = run.awaitSummary(loadSeconds);
        JsonNode summary = MAPPER.readTree(output.substring(output.lastIndexOf("\n{") + 1));
        System.out.println(tableRow(percent, summary, run.matchExecutions()));
      }
    }
    DataFolderCorruption.delete(folder);
  }

  private String tableRow(int percent, JsonNode summary, String match) {
    String keyedService = spec().keyedService().name();
    return "| %d%% | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.2f | %d | %s | %.1f |"
        .formatted(
            percent,
            requestsPerSecond(percent),
            summary.path("answered").asLong(),
            summary.path("late").asLong(),
            summary.path("lost").asLong(),
            summary.path("p50Micros").asLong() / MICROS_PER_MILLI,
            summary.path("p99Micros").asLong() / MICROS_PER_MILLI,
            summary.path("maxMicros").asLong() / MICROS_PER_MILLI,
            summary.path("imbalance").path(keyedService).asDouble(),
            summary.path("answered").asLong() / loadSeconds,
            match.substring(match.lastIndexOf(": ") + 2),
            loadAverage());
  }

  private LoadRun startLoad(
      Fleet fleet, String name, int percent, double exponent, int durationSeconds) {
    return LoadRun.start(
        fleet,
        name,
        "1g",
        List.of(
            "--rate",
            "" + requestsPerSecond(percent),
            "--duration-seconds",
            "" + durationSeconds,
            "--unkeyed-share",
            String.format(Locale.ROOT, "%.4f", unkeyedShare()),
            "--keys",
            "100000",
            "--zipf",
            "" + exponent,
            "--deadline-millis",
            "" + DEADLINE_MILLIS,
            "--json"));
  }

  /** Returns the rate to both services, each of which gets the same percentage of its capacity. */
  private int requestsPerSecond(int percent) {
    int slots =
        spec().services().stream().mapToInt(service -> service.targets() * service.slots()).sum();
    return slots * 1_000 / serviceMillis * percent / 100;
  }

  private double unkeyedShare() {
    double unkeyedTargets = spec().unkeyedService().targets();
    return unkeyedTargets / (unkeyedTargets + spec().keyedService().targets());
  }

  private FleetSpec spec() {
    List<ServiceTargets> services =
        switch (deployment) {
          case "maison-diop" -> services("card-ledger", 26, "salon-books", 6, 2, "availability");
          case "harrowmere" -> services("casedesk", 30, "ledgerdocs", 6, 3, "churn");
          default -> throw new IllegalArgumentException("unknown deployment " + deployment);
        };
    return new FleetSpec(
        deployment,
        DAEMONS,
        CONTROL_MEMBERS,
        services,
        TARGET_PROCESSES,
        FleetSpec.TIERED_COMPILATION);
  }

  private List<ServiceTargets> services(
      String keyedService,
      int keyedTargets,
      String unkeyedService,
      int unkeyedTargets,
      int slots,
      String movePolicy) {
    return List.of(
        new ServiceTargets(
            keyedService, true, HASH_SLOTS, movePolicy, keyedTargets, slots, serviceMillis, true),
        new ServiceTargets(
            unkeyedService, false, 0, "", unkeyedTargets, slots, serviceMillis, true));
  }

  private static double loadAverage() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }
}
