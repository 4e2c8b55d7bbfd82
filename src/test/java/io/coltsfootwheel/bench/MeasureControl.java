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
 * Measures what a daemon without requests costs, by role, for fleets of several sizes.
 *
 * <p>Usage: {@code bin/measure-control 5x0 5x32 5x96} measures 5 daemons with 0, 32 and 96 targets
 * and fits a line through each column; {@code 3x32 6x32 12x32} varies the daemons instead.
 */
public final class MeasureControl {
  /** Cost of one daemon, or the mean of several; traffic is in bytes a second. */
  private record Cost(double cpuMillis, double heapMegabytes, double sent, double received) {}

  private record Sample(double cpuMillis, double sent, double received) {}

  /** Costs in one fleet; the other members and the followers as means. */
  private record Point(int daemons, int targets, Cost leader, Cost member, Cost follower) {}

  private record Column(String name, ToDoubleFunction<Point> value) {}

  private static final int MEMBERS = 3;
  private static final int SLOTS = 2;
  private static final int MIN_POINTS = 3;
  private static final int FIRST_PORT = 22_000;
  private static final int PORTS_PER_FLEET = 200;
  private static final long SETTLE_MILLIS = 5_000;
  private static final long MEASURED_MILLIS = 10_000;
  private static final double KILOBYTES_PER_MEGABYTE = 1024;
  private static final Pattern USED = Pattern.compile("generation.* used (\\d+)K");
  private static final Cost NONE = new Cost(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

  private MeasureControl() {}

  /**
   * Runs the measurement.
   *
   * @param arguments fleets as DAEMONSxTARGETS
   * @throws Exception when a process does not start or a file cannot be written
   */
  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("measure-control");
    int port = FIRST_PORT + (int) (ProcessHandle.current().pid() % 8) * PORTS_PER_FLEET;
    List<Point> points = new ArrayList<>();
    for (String argument : arguments) {
      String[] size = argument.split("x");
      try {
        points.add(
            measure(
                folder.resolve(argument),
                Integer.parseInt(size[0]),
                Integer.parseInt(size[1]),
                port));
        print(points.get(points.size() - 1));
      } catch (IllegalStateException e) {
        System.out.println(argument + " FAILED: " + e.getMessage());
      }
      port += PORTS_PER_FLEET;
    }
    if (points.size() < MIN_POINTS) {
      System.out.println("no fit: " + points.size() + " points, " + MIN_POINTS + " are needed");
      System.exit(1);
    }
    boolean byTargets = points.stream().mapToInt(Point::daemons).distinct().count() == 1;
    System.out.println(
        "per " + (byTargets ? "target" : "daemon") + ": slope, intercept, residuals");
    for (Column column : columns()) {
      fit(points, byTargets ? Point::targets : Point::daemons, column);
    }
    System.out.println("logs: " + folder);
  }

  private static Point measure(Path folder, int daemons, int targets, int port)
      throws IOException, InterruptedException {
    try (TestFleet fleet = new TestFleet(folder, daemons, MEMBERS, targets, port)) {
      fleet.start(SLOTS);
      Thread.sleep(SETTLE_MILLIS);
      List<Sample> before = samples(fleet, daemons);
      long startNanos = System.nanoTime();
      Thread.sleep(MEASURED_MILLIS);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      List<Sample> after = samples(fleet, daemons);
      List<Cost> leader = new ArrayList<>();
      List<Cost> members = new ArrayList<>();
      List<Cost> followers = new ArrayList<>();
      for (int i = 0; i < daemons; i++) {
        Sample from = before.get(i);
        Sample to = after.get(i);
        Cost cost =
            new Cost(
                (to.cpuMillis - from.cpuMillis) / seconds,
                heapMegabytes(fleet.daemon(i).pid()),
                (to.sent - from.sent) / seconds,
                (to.received - from.received) / seconds);
        boolean leads = sum(fleet.get(i, "/metrics"), "coltsfootwheel_leading") > 0;
        (leads ? leader : i < MEMBERS ? members : followers).add(cost);
      }
      return new Point(daemons, targets, mean(leader), mean(members), mean(followers));
    }
  }

  private static List<Sample> samples(TestFleet fleet, int daemons)
      throws IOException, InterruptedException {
    List<Sample> samples = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      String metrics = fleet.get(i, "/metrics");
      samples.add(
          new Sample(
              fleet.daemon(i).cpuTime().toNanos() / 1e6,
              sum(metrics, "coltsfootwheel_link_bytes_total{direction=\"sent\""),
              sum(metrics, "coltsfootwheel_link_bytes_total{direction=\"received\"")));
    }
    return samples;
  }

  private static double sum(String metrics, String prefix) {
    return metrics
        .lines()
        .filter(line -> line.startsWith(prefix))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  /** Heap in use after a full collection. */
  private static double heapMegabytes(long pid) throws IOException, InterruptedException {
    jcmd(pid, "GC.run");
    Matcher used = USED.matcher(jcmd(pid, "GC.heap_info"));
    double kilobytes = 0;
    while (used.find()) {
      kilobytes += Double.parseDouble(used.group(1));
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
        ? NONE
        : new Cost(
            costs.stream().mapToDouble(Cost::cpuMillis).average().orElse(0),
            costs.stream().mapToDouble(Cost::heapMegabytes).average().orElse(0),
            costs.stream().mapToDouble(Cost::sent).average().orElse(0),
            costs.stream().mapToDouble(Cost::received).average().orElse(0));
  }

  private static void print(Point point) throws IOException {
    System.out.printf(
        "%d daemons, %d targets, load average %s%n",
        point.daemons, point.targets, Files.readString(Path.of("/proc/loadavg")).strip());
    columns()
        .forEach(c -> System.out.printf("  %-28s %10.1f%n", c.name, c.value.applyAsDouble(point)));
  }

  private static List<Column> columns() {
    List<Column> columns = new ArrayList<>();
    add(columns, "leader", Point::leader);
    add(columns, "member", Point::member);
    add(columns, "follower", Point::follower);
    return columns;
  }

  private static void add(
      List<Column> columns, String role, java.util.function.Function<Point, Cost> cost) {
    columns.add(new Column(role + " cpu ms/s", p -> cost.apply(p).cpuMillis));
    columns.add(new Column(role + " heap MB", p -> cost.apply(p).heapMegabytes));
    columns.add(new Column(role + " sent B/s", p -> cost.apply(p).sent));
    columns.add(new Column(role + " received B/s", p -> cost.apply(p).received));
  }

  /** Prints the least-squares line through the points that have a value. */
  private static void fit(List<Point> all, ToDoubleFunction<Point> size, Column column) {
    List<Point> points =
        all.stream().filter(p -> !Double.isNaN(column.value.applyAsDouble(p))).toList();
    double meanX = points.stream().mapToDouble(size).average().orElse(0);
    double meanY = points.stream().mapToDouble(column.value).average().orElse(0);
    double products = 0;
    double squares = 0;
    for (Point point : points) {
      double x = size.applyAsDouble(point) - meanX;
      products += x * (column.value.applyAsDouble(point) - meanY);
      squares += x * x;
    }
    double slope = products / squares;
    double intercept = meanY - slope * meanX;
    String residuals =
        Arrays.toString(
            points.stream()
                .mapToLong(
                    p ->
                        Math.round(
                            column.value.applyAsDouble(p)
                                - intercept
                                - slope * size.applyAsDouble(p)))
                .toArray());
    System.out.printf("  %-28s %10.3f %10.1f %s%n", column.name, slope, intercept, residuals);
  }
}
