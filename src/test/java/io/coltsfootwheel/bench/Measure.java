package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.bench.FleetPlan.ServicePlan;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/** Measures a deployment of docs/design.md section 1 at shares of its keyed capacity. */
public final class Measure {
  private static final int DAEMONS = 6;
  private static final int MEMBERS = 3;
  private static final int TARGET_PROCESSES = 2;
  private static final int HASH_SLOTS = 1_024;
  private static final int[] LOAD_PERCENT = {50, 80, 100, 150};
  private static final double[] ZIPF_EXPONENTS = {0, 0.8};
  private static final int WARM_UP_SECONDS = 5;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String deployment;
  private final int serviceMillis;
  private final int seconds;

  private Measure(String deployment, int serviceMillis, int seconds) {
    this.deployment = deployment;
    this.serviceMillis = serviceMillis;
    this.seconds = seconds;
  }

  /**
   * Prints one line for each load, once with even keys and once with Zipf keys.
   *
   * @param arguments {@code maison-diop|harrowmere [--service-millis N] [--seconds N]}
   * @throws Exception when the fleet does not start or the driver fails
   */
  public static void main(String[] arguments) throws Exception {
    CommandLine line =
        new DefaultParser()
            .parse(
                new Options()
                    .addOption(null, "service-millis", true, "execution time (default 5)")
                    .addOption(null, "seconds", true, "length of each load (default 10)"),
                arguments);
    Measure measure =
        new Measure(
            line.getArgList().get(0),
            Integer.parseInt(line.getOptionValue("service-millis", "5")),
            Integer.parseInt(line.getOptionValue("seconds", "10")));
    for (double exponent : ZIPF_EXPONENTS) {
      measure.run(exponent);
    }
    System.exit(0);
  }

  /** A fresh fleet for each distribution, so that earlier moves of hot slots do not count. */
  private void run(double exponent) throws Exception {
    Path folder = Files.createTempDirectory("measure-");
    Path home = Path.of(System.getProperty("coltsfootwheel.home"));
    FleetPlan plan = plan();
    System.out.printf(
        "%s, %d ms service time, Zipf %.1f, load average %.1f%n",
        deployment, serviceMillis, exponent, loadAverage());
    System.out.println(
        "| load | rate/s | answered | late | lost | p50 ms | p99 ms | max ms | imbalance"
            + " | goodput/s | match | load average |");
    try (Fleet fleet = Fleet.start(home, folder, plan, Set.of())) {
      load(fleet, "warm-up", LOAD_PERCENT[0], exponent, WARM_UP_SECONDS)
          .awaitSummary(WARM_UP_SECONDS);
      for (int percent : LOAD_PERCENT) {
        LoadRun run = load(fleet, "load-" + percent, percent, exponent, seconds);
        String text = run.awaitSummary(seconds);
        JsonNode summary = JSON.readTree(text.substring(text.lastIndexOf("\n{") + 1));
        System.out.println(row(percent, summary, run.match()));
      }
    }
    DataFolderCorruption.delete(folder);
  }

  private String row(int percent, JsonNode summary, String match) {
    String keyed = plan().keyedService().name();
    return "| %d%% | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.2f | %d | %s | %.1f |"
        .formatted(
            percent,
            rate(percent),
            summary.path("answered").asLong(),
            summary.path("late").asLong(),
            summary.path("lost").asLong(),
            summary.path("p50Micros").asLong() / MICROS_PER_MILLI,
            summary.path("p99Micros").asLong() / MICROS_PER_MILLI,
            summary.path("maxMicros").asLong() / MICROS_PER_MILLI,
            summary.path("imbalance").path(keyed).asDouble(),
            summary.path("answered").asLong() / seconds,
            match.substring(match.lastIndexOf(": ") + 2),
            loadAverage());
  }

  private LoadRun load(Fleet fleet, String name, int percent, double exponent, int duration) {
    return LoadRun.start(
        fleet,
        name,
        "1g",
        List.of(
            "--rate",
            "" + rate(percent),
            "--duration-seconds",
            "" + duration,
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

  /** Requests a second to both services: each service gets the same share of its capacity. */
  private int rate(int percent) {
    int slots = plan().services().stream().mapToInt(s -> s.targets() * s.slots()).sum();
    return slots * 1_000 / serviceMillis * percent / 100;
  }

  private double unkeyedShare() {
    double unkeyed = plan().unkeyedService().targets();
    return unkeyed / (unkeyed + plan().keyedService().targets());
  }

  private FleetPlan plan() {
    List<ServicePlan> services =
        switch (deployment) {
          case "maison-diop" -> services("card-ledger", 26, "salon-books", 6, 2, "availability");
          case "harrowmere" -> services("casedesk", 30, "ledgerdocs", 6, 3, "churn");
          default -> throw new IllegalArgumentException("unknown deployment " + deployment);
        };
    return new FleetPlan(
        deployment, DAEMONS, MEMBERS, services, TARGET_PROCESSES, FleetPlan.ALL_COMPILERS);
  }

  private List<ServicePlan> services(
      String keyed, int keyedTargets, String unkeyed, int unkeyedTargets, int slots, String move) {
    return List.of(
        new ServicePlan(keyed, true, HASH_SLOTS, move, keyedTargets, slots, serviceMillis, true),
        new ServicePlan(unkeyed, false, 0, "", unkeyedTargets, slots, serviceMillis, true));
  }

  private static double loadAverage() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }
}
