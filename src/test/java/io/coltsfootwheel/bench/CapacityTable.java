package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Works out the tables of docs/CAPACITY.md from measured slopes.
 *
 * <p>Usage: {@code bin/capacity table docs/capacity-slopes.csv}.
 */
final class CapacityTable {
  private static final double RENEWALS_PER_SECOND = 10;
  private static final double TICKS_PER_SECOND = 100;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double BYTES_PER_LIST_ENTRY = 30;
  private static final double MEGABYTE = 1_000_000;

  private final Map<String, double[]> slopes;

  /** Size of a deployment; targets and hash slots are those of one control group. */
  private record Size(
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

  private CapacityTable(Map<String, double[]> slopes) {
    this.slopes = slopes;
  }

  public static void main(String[] arguments) throws IOException {
    Map<String, double[]> slopes = new HashMap<>();
    for (String line : Files.readAllLines(Path.of(arguments[0]))) {
      if (!line.startsWith("#") && !line.isBlank()) {
        String[] cells = line.split(",");
        slopes.put(
            cells[0], new double[] {Double.parseDouble(cells[2]), Double.parseDouble(cells[3])});
      }
    }
    CapacityTable table = new CapacityTable(slopes);
    // 43 million requests/s at 300 per target (2.5 slots, 5 ms, 60% busy) are 143,333 targets.
    List<Size> sizes =
        List.of(
            new Size("today", 12, 1, 3, 36, 1_024, 12, 20, 1_000),
            new Size("target size", 3_800, 3, 5, 47_778, 477_780, 680, 2_200, 100_000));
    sizes.forEach(table::print);
  }

  private void print(Size size) {
    System.out.printf(
        Locale.ROOT,
        "%n### %s: %,d instances, %d control group(s) of %d, %,d targets and %,d hash slots in each,"
            + " %.1f targets per instance%n%n",
        size.name(),
        size.instances(),
        size.groups(),
        size.members(),
        size.targets(),
        size.hashSlots(),
        size.targetsPerInstance());
    System.out.println("| role | quantity | worked out | limit | mechanism |");
    System.out.println("| --- | --- | --- | --- | --- |");
    printInstance(size);
    printLeader(size);
    printMember(size);
  }

  private void printInstance(Size size) {
    double state =
        at("state-heap-bytes", size.targets()) + slope("state-slot-heap-bytes") * size.hashSlots();
    row("instance", "control state in memory", "%.1f MB", state / MEGABYTE, "256 MB", "state copy");
    double renewal = at("renewal-bytes", size.targetsPerInstance());
    row(
        "instance",
        "renewals sent, all reports in each",
        "%.2f KB/s",
        renewal * RENEWALS_PER_SECOND / 1_000,
        "4 KB/s",
        "one renewal per instance every 100 ms");
    double once =
        fixed("renewal-bytes") * RENEWALS_PER_SECOND
            + slope("renewal-bytes") * size.targetsPerInstance();
    row(
        "instance",
        "the same with reports once a second (not built)",
        "%.2f KB/s",
        once / 1_000,
        "4 KB/s",
        "reports on change, else each second");
    double acks = at("renewal-ack-bytes", 0) * RENEWALS_PER_SECOND;
    row("instance", "acknowledgements", "%.2f KB/s", acks / 1_000, "4 KB/s", "echo of send time");
    row(
        "instance",
        "deltas of restarts, mean",
        "%.3f KB/s",
        restartBytesPerDay(size) / SECONDS_PER_DAY / 1_000,
        "4 KB/s",
        "one committed command each");
    double lists =
        size.listChangesPerDay() * size.customers() * BYTES_PER_LIST_ENTRY / SECONDS_PER_DAY;
    row(
        "instance",
        String.format(Locale.ROOT, "whole lists of %,d customers, mean", size.customers()),
        "%.2f KB/s",
        lists / 1_000,
        "4 KB/s",
        "lists are sent whole");
  }

  private void printLeader(Size size) {
    double renewals = size.instancesPerGroup() * RENEWALS_PER_SECOND;
    row("leader", "renewals", "%,.0f /s", renewals, "-", "one leader per region");
    double micros =
        at("renewal-codec-micros", size.targetsPerInstance()) + fixed("supervisor-renewal-micros");
    row(
        "leader",
        "renewals: codec and supervisor",
        "%.1f%% of a core",
        renewals * micros / 10_000,
        "set aside",
        "slopes of codec and supervisor");
    double tick = at("supervisor-tick-micros", size.targets());
    row(
        "leader",
        "planning ticks",
        "%.1f%% of a core",
        tick * TICKS_PER_SECOND / 10_000,
        "set aside",
        "each tick scans all targets");
    double snapshot =
        at("snapshot-bytes", size.targets()) + slope("snapshot-slot-bytes") * size.hashSlots();
    row("leader", "snapshot", "%.1f MB", snapshot / MEGABYTE, "-", "for members and followers");
  }

  private void printMember(Size size) {
    double subscribers = size.instancesPerGroup() / size.members();
    row("member", "subscribers", "%,.0f", subscribers, "-", "followers spread over members");
    double zoneCommands = size.instancesPerGroup() / 3 * (1 + 2 * size.targetsPerInstance());
    double zoneBytes = zoneCommands * at("grant-bytes", 0);
    row(
        "member",
        "loss of a third of the group's instances at once: deltas to each subscriber",
        "%.2f MB",
        zoneBytes / MEGABYTE,
        "4 KB/s mean",
        "one command per grant");
    double snapshot =
        at("snapshot-bytes", size.targets()) + slope("snapshot-slot-bytes") * size.hashSlots();
    row(
        "member",
        "snapshots for restarts, mean",
        "%.2f KB/s",
        snapshot * size.restartsPerDay() / size.groups() / size.members() / SECONDS_PER_DAY / 1_000,
        "set aside",
        "a restarted instance without a disk fetches the state whole");
  }

  private double restartBytesPerDay(Size size) {
    double commands = 2 + 2 * size.targetsPerInstance();
    return size.restartsPerDay() / size.groups() * commands * at("grant-bytes", 0);
  }

  private double at(String name, double axis) {
    return fixed(name) + slope(name) * axis;
  }

  private double fixed(String name) {
    return slopes.get(name)[0];
  }

  private double slope(String name) {
    return slopes.get(name)[1];
  }

  private static void row(
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
