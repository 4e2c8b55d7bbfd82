package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Computes the tables of docs/CAPACITY.md from measured slopes and intercepts.
 *
 * <p>Usage: {@code bin/capacity table docs/capacity-slopes.csv}.
 */
final class CapacityTable {
  private static final double RENEWALS_PER_SECOND = 10;
  private static final double TICKS_PER_SECOND = 100;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double BYTES_PER_LIST_ENTRY = 30;
  private static final double MEGABYTE = 1_000_000;

  /** Intercept and slope of each measured quantity. */
  private final Map<String, double[]> linesByName;

  /** Deployment size; members, targets and hash slots are those of one control group. */
  private record Deployment(
      String name,
      int instances,
      int groups,
      int members,
      int targets,
      int hashSlots,
      double restartsPerDay,
      double listChangesPerDay,
      int customers) {
    double instancesPerGroup() {
      return (double) instances / groups;
    }

    double targetsPerInstance() {
      return targets / instancesPerGroup();
    }
  }

  private CapacityTable(Map<String, double[]> linesByName) {
    this.linesByName = linesByName;
  }

  public static void main(String[] arguments) throws IOException {
    Map<String, double[]> linesByName = new HashMap<>();
    for (String line : Files.readAllLines(Path.of(arguments[0]))) {
      if (!line.startsWith("#") && !line.isBlank()) {
        String[] cells = line.split(",");
        linesByName.put(
            cells[0], new double[] {Double.parseDouble(cells[2]), Double.parseDouble(cells[3])});
      }
    }
    CapacityTable table = new CapacityTable(linesByName);
    // The target size serves 43 million requests/s. At 300 requests/s per target (2.5 slots, 5 ms
    // service time, 60% utilization), this takes 143,333 targets in 3 control groups.
    List<Deployment> deployments =
        List.of(
            new Deployment("today", 12, 1, 3, 36, 1_024, 12, 20, 1_000),
            new Deployment("target size", 3_800, 3, 5, 47_778, 477_780, 680, 2_200, 100_000));
    deployments.forEach(table::print);
  }

  private void print(Deployment deployment) {
    System.out.printf(
        Locale.ROOT,
        "%n### %s: %,d instances, %d control group(s) of %d, %,d targets and %,d hash slots in each,"
            + " %.1f targets per instance%n%n",
        deployment.name(),
        deployment.instances(),
        deployment.groups(),
        deployment.members(),
        deployment.targets(),
        deployment.hashSlots(),
        deployment.targetsPerInstance());
    System.out.println("| role | quantity | worked out | limit | mechanism |");
    System.out.println("| --- | --- | --- | --- | --- |");
    printInstance(deployment);
    printLeader(deployment);
    printMember(deployment);
  }

  private void printInstance(Deployment deployment) {
    double stateBytes =
        estimate("state-heap-bytes", deployment.targets())
            + slope("state-slot-heap-bytes") * deployment.hashSlots();
    printRow(
        "instance",
        "control state in memory",
        "%.1f MB",
        stateBytes / MEGABYTE,
        "256 MB",
        "state copy");
    double renewalBytes = estimate("renewal-bytes", deployment.targetsPerInstance());
    printRow(
        "instance",
        "renewals sent, all reports in each",
        "%.2f KB/s",
        renewalBytes * RENEWALS_PER_SECOND / 1_000,
        "4 KB/s",
        "one renewal per instance every 100 ms");
    double reducedReportBytesPerSecond =
        intercept("renewal-bytes") * RENEWALS_PER_SECOND
            + slope("renewal-bytes") * deployment.targetsPerInstance();
    printRow(
        "instance",
        "the same with reports once a second (not built)",
        "%.2f KB/s",
        reducedReportBytesPerSecond / 1_000,
        "4 KB/s",
        "reports on change, else each second");
    double ackBytesPerSecond = estimate("renewal-ack-bytes", 0) * RENEWALS_PER_SECOND;
    printRow(
        "instance",
        "acknowledgements",
        "%.2f KB/s",
        ackBytesPerSecond / 1_000,
        "4 KB/s",
        "echo of send time");
    printRow(
        "instance",
        "deltas of restarts, mean",
        "%.3f KB/s",
        restartBytesPerDay(deployment) / SECONDS_PER_DAY / 1_000,
        "4 KB/s",
        "one committed command each");
    double listBytesPerSecond =
        deployment.listChangesPerDay()
            * deployment.customers()
            * BYTES_PER_LIST_ENTRY
            / SECONDS_PER_DAY;
    printRow(
        "instance",
        String.format(Locale.ROOT, "whole lists of %,d customers, mean", deployment.customers()),
        "%.2f KB/s",
        listBytesPerSecond / 1_000,
        "4 KB/s",
        "lists are sent whole");
  }

  private void printLeader(Deployment deployment) {
    double renewalsPerSecond = deployment.instancesPerGroup() * RENEWALS_PER_SECOND;
    printRow("leader", "renewals", "%,.0f /s", renewalsPerSecond, "-", "one leader per region");
    double microsPerRenewal =
        estimate("renewal-codec-micros", deployment.targetsPerInstance())
            + intercept("supervisor-renewal-micros");
    printRow(
        "leader",
        "renewals: codec and supervisor",
        "%.1f%% of a core",
        renewalsPerSecond * microsPerRenewal / 10_000,
        "set aside",
        "slopes of codec and supervisor");
    double tickMicros = estimate("supervisor-tick-micros", deployment.targets());
    printRow(
        "leader",
        "planning ticks",
        "%.1f%% of a core",
        tickMicros * TICKS_PER_SECOND / 10_000,
        "set aside",
        "each tick scans all targets");
    double snapshotBytes =
        estimate("snapshot-bytes", deployment.targets())
            + slope("snapshot-slot-bytes") * deployment.hashSlots();
    printRow(
        "leader",
        "snapshot",
        "%.1f MB",
        snapshotBytes / MEGABYTE,
        "-",
        "for members and followers");
  }

  private void printMember(Deployment deployment) {
    double subscribers = deployment.instancesPerGroup() / deployment.members();
    printRow("member", "subscribers", "%,.0f", subscribers, "-", "followers spread over members");
    double zoneCommands =
        deployment.instancesPerGroup() / 3 * (1 + 2 * deployment.targetsPerInstance());
    double zoneBytes = zoneCommands * estimate("grant-bytes", 0);
    printRow(
        "member",
        "loss of a third of the group's instances at once: deltas to each subscriber",
        "%.2f MB",
        zoneBytes / MEGABYTE,
        "4 KB/s mean",
        "one command per grant");
    double snapshotBytes =
        estimate("snapshot-bytes", deployment.targets())
            + slope("snapshot-slot-bytes") * deployment.hashSlots();
    printRow(
        "member",
        "snapshots for restarts, mean",
        "%.2f KB/s",
        snapshotBytes
            * deployment.restartsPerDay()
            / deployment.groups()
            / deployment.members()
            / SECONDS_PER_DAY
            / 1_000,
        "set aside",
        "a restarted instance without a disk fetches the state whole");
  }

  private double restartBytesPerDay(Deployment deployment) {
    double commands = 2 + 2 * deployment.targetsPerInstance();
    return deployment.restartsPerDay()
        / deployment.groups()
        * commands
        * estimate("grant-bytes", 0);
  }

  private double estimate(String name, double count) {
    return intercept(name) + slope(name) * count;
  }

  private double intercept(String name) {
    return linesByName.get(name)[0];
  }

  private double slope(String name) {
    return linesByName.get(name)[1];
  }

  private static void printRow(
      String role, String quantity, String format, double value, String limit, String mechanism) {
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | " + format + " | %s | %s |%n",
        role,
        quantity,
        value,
        limit,
        mechanism);
  }
}
