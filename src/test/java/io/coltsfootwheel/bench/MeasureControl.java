package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Measures CPU time, heap and link traffic of daemons without requests, by role, for fleets of
 * several sizes.
 *
 * <p>Usage: {@code bin/measure-control 5x0 5x32 5x96} measures 5 daemons with 0, 32 and 96 targets
 * and fits a line through each column; {@code 3x32 6x32 12x32} varies the daemons instead.
 */
public final class MeasureControl {
  /** Cost of one daemon or the mean of several; traffic is in bytes per second. */
  private record Cost(double cpuMillis, double heapMegabytes, double sent, double received) {}

  private record Counters(double cpuMillis, double sent, double received) {}

  /** Costs in one fleet; those of the other control members and of the followers are means. */
  private record DataPoint(int daemons, int targets, Cost leader, Cost member, Cost follower) {}

  private record Column(String name, ToDoubleFunction<DataPoint> value) {}

  private static final int CONTROL_MEMBERS = 3;
  private static final int SLOTS = 2;
  private static final int MIN_POINTS = 3;
  private static final int FIRST_PORT = 22_000;
  private static final int PORTS_PER_FLEET = 200;
  private static final long STABILIZATION_MILLIS = 5_000;
  private static final long MEASUREMENT_MILLIS = 10_000;
  private static final double KILOBYTES_PER_MEGABYTE = 1024;
  private static final Pattern USED_HEAP = Pattern.compile("generation.* used (\\d+)K");
  private static final Cost NO_DAEMONS = new Cost(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

  private MeasureControl() {}

  /**
   * Runs the measurement.
   *
   * @param arguments fleets as DAEMONSxTARGETS
   * @throws Exception when a process does not start or a file cannot be written
   */
  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("measure-control");
    int firstPort = FIRST_PORT + (int) (ProcessHandle.current().pid() % 8) * PORTS_PER_FLEET;
    List<DataPoint> points = new ArrayList<>();
    for (String argument : arguments) {
      String[] size = argument.split("x");
      try {
        points.add(
            measure(
                folder.resolve(argument),
                Integer.parseInt(size[0]),
                Integer.parseInt(size[1]),
                firstPort));
        print(points.get(points.size() - 1));
      } catch (IllegalStateException e) {
        System.out.println(argument + " FAILED: " + e.getMessage());
      }
      firstPort += PORTS_PER_FLEET;
    }
    if (points.size() < MIN_POINTS) {
      System.out.println("no fit: " + points.size() + " points, " + MIN_POINTS + " are needed");
      System.exit(1);
    }
    boolean varyTargets = points.stream().mapToInt(DataPoint::daemons).distinct().count() == 1;
    System.out.println(
        "per " + (varyTargets ? "target" : "daemon") + ": slope, intercept, residuals");
    for (Column column : columns()) {
      fit(points, varyTargets ? DataPoint::targets : DataPoint::daemons, column);
    }
    System.out.println("logs: " + folder);
  }

  private static DataPoint measure(Path folder, int daemons, int targets, int firstPort)
      throws IOException, InterruptedException {
    try (MeasurementFleet fleet =
        new MeasurementFleet(folder, daemons, CONTROL_MEMBERS, targets, firstPort)) {
      fleet.start(SLOTS);
      Thread.sleep(STABILIZATION_MILLIS);
      List<Counters> countersBefore = readCounters(fleet, daemons);
      long startNanos = System.nanoTime();
      Thread.sleep(MEASUREMENT_MILLIS);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      List<Counters> countersAfter = readCounters(fleet, daemons);
      List<Cost> leader = new ArrayList<>();
      List<Cost> members = new ArrayList<>();
      List<Cost> followers = new ArrayList<>();
      for (int i = 0; i < daemons; i++) {
        Counters start = countersBefore.get(i);
        Counters end = countersAfter.get(i);
        Cost cost =
            new Cost(
                (end.cpuMillis - start.cpuMillis) / seconds,
                heapMegabytes(fleet.daemon(i).pid()),
                (end.sent - start.sent) / seconds,
                (end.received - start.received) / seconds);
        boolean isLeader = sum(fleet.get(i, "/metrics"), "coltsfootwheel_leading") > 0;
        (isLeader ? leader : i < CONTROL_MEMBERS ? members : followers).add(cost);
      }
      return new DataPoint(daemons, targets, mean(leader), mean(members), mean(followers));
    }
  }

  private static List<Counters> readCounters(MeasurementFleet fleet, int daemons)
      throws IOException, InterruptedException {
    List<Counters> counters = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      String metrics = fleet.get(i, "/metrics");
      counters.add(
          new Counters(
              fleet.daemon(i).cpuTime().toNanos() / 1e6,
              sum(metrics, "coltsfootwheel_link_bytes_total{direction=\"sent\""),
              sum(metrics, "coltsfootwheel_link_bytes_total{direction=\"received\"")));
    }
    return counters;
  }

  private static double sum(String metrics, String prefix) {
    return metrics
        .lines()
        .filter(line -> line.startsWith(prefix))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  /** Returns the heap in use after a full garbage collection. */
  private static double heapMegabytes(long pid) throws IOException, InterruptedException {
    jcmd(pid, "GC.run");
    Matcher usedHeap = USED_HEAP.matcher(jcmd(pid, "GC.heap_info"));
    double kilobytes = 0;
    while (usedHeap.find()) {
      kilobytes += Double.parseDouble(usedHeap.group(1));
    }
    return kilobytes / KILOBYTES_PER_MEGABYTE;
  }

  private static String jcmd(long pid, String command) throws IOException, InterruptedException {
    String program = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
    Process process = new ProcessBuilder(program, Long.toString(pid), command).start();
    String output = new String(process.getInputStream().readAllBytes());
    process.waitFor();
    return output;
  }

  private static Cost mean(List<Cost> costs) {
    return costs.isEmpty()
        ? NO_DAEMONS
        : new Cost(
            costs.stream().mapToDouble(Cost::cpuMillis).average().orElse(0),
            costs.stream().mapToDouble(Cost::heapMegabytes).average().orElse(0),
            costs.stream().mapToDouble(Cost::sent).average().orElse(0),
            costs.stream().mapToDouble(Cost::received).average().orElse(0));
  }

  private static void print(DataPoint point) throws IOException {
    System.out.printf(
        "%d daemons, %d targets, load average %s%n",
        point.daemons, point.targets, Files.readString(Path.of("/proc/loadavg")).strip());
    columns()
        .forEach(
            column ->
                System.out.printf(
                    "  %-28s %10.1f%n", column.name, column.value.applyAsDouble(point)));
  }

  private static List<Column> columns() {
    List<Column> columns = new ArrayList<>();
    add(columns, "leader", DataPoint::leader);
    add(columns, "member", DataPoint::member);
    add(columns, "follower", DataPoint::follower);
    return columns;
  }

  private static void add(
      List<Column> columns, String role, java.util.function.Function<DataPoint, Cost> cost) {
    columns.add(new Column(role + " cpu ms/s", point -> cost.apply(point).cpuMillis));
    columns.add(new Column(role + " heap MB", point -> cost.apply(point).heapMegabytes));
    columns.add(new Column(role + " sent B/s", point -> cost.apply(point).sent));
    columns.add(new Column(role + " received B/s", point -> cost.apply(point).received));
  }

  /** Prints the least-squares line through the points that have a value. */
  private static void fit(
      List<DataPoint> allPoints, ToDoubleFunction<DataPoint> size, Column column) {
    List<DataPoint> points =
        allPoints.stream()
            .filter(point -> !Double.isNaN(column.value.applyAsDouble(point)))
            .toList();
    double meanX = points.stream().mapToDouble(size).average().orElse(0);
    double meanY = points.stream().mapToDouble(column.value).average().orElse(0);
    double deviationProducts = 0;
    double squaredDeviations = 0;
    for (DataPoint point : points) {
      double x = size.applyAsDouble(point) - meanX;
      deviationProducts += x * (column.value.applyAsDouble(point) - meanY);
      squaredDeviations += x * x;
    }
    double slope = deviationProducts / squaredDeviations;
    double intercept = meanY - slope * meanX;
    String residuals =
        Arrays.toString(
            points.stream()
                .mapToLong(
                    point ->
                        Math.round(
                            column.value.applyAsDouble(point)
                                - intercept
                                - slope * size.applyAsDouble(point)))
                .toArray());
    System.out.printf("  %-28s %10.3f %10.1f %s%n", column.name, slope, intercept, residuals);
  }
}
