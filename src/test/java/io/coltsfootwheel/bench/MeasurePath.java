package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Compares the cost of a request through one or two daemons with a direct call and a minimal proxy.
 *
 * <p>Prints, for each path, the throughput of a closed loop, the CPU time of the proxies for each
 * request, and the latency of an open loop at a fixed rate. Usage: {@code bin/measure-path
 * [CONNECTIONS [RATE [REPEATS]]]}.
 */
public final class MeasurePath {
  private static final int TARGETS = 4;
  private static final int SLOTS = 64;
  private static final int CANDIDATE_KEYS = 256;
  private static final double WARM_UP_SECONDS = 5;
  private static final double CLOSED_LOOP_SECONDS = 1;
  private static final int ROUNDS = 3;
  private static final double OPEN_LOOP_SECONDS = 1.5;

  /**
   * Folder of the classes of an earlier commit, which another daemon runs for comparison, or null.
   */
  private static final String BASELINE_CLASSES = System.getProperty("bench.baseline");

  private final int connections;
  private final double requestsPerSecond;

  private MeasurePath(int connections, double requestsPerSecond) {
    this.connections = connections;
    this.requestsPerSecond = requestsPerSecond;
  }

  /**
   * Runs the measurement.
   *
   * @param arguments number of connections (64), rate of the open loop (1000), repeats (1)
   * @throws Exception when a process does not start or a file cannot be written
   */
  public static void main(String[] arguments) throws Exception {
    int connections = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 64;
    double requestsPerSecond = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 1_000;
    int repeats = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 1;
    Path folder = Files.createTempDirectory("measure-path");
    // Below the range of ephemeral ports; the process id keeps runs at the same time apart.
    int port = 21_000 + (int) (ProcessHandle.current().pid() % 80) * 100;
    try (MeasurementFleet oneDaemon =
            new MeasurementFleet(folder.resolve("one"), 1, 1, TARGETS, port);
        MeasurementFleet baselineFleet =
            new MeasurementFleet(folder.resolve("old"), 1, 1, TARGETS, port + 60);
        MeasurementFleet twoDaemons =
            new MeasurementFleet(folder.resolve("two"), 2, 1, TARGETS, port + 30)) {
      oneDaemon.start(SLOTS);
      twoDaemons.start(SLOTS);
      if (BASELINE_CLASSES != null) {
        baselineFleet.preferClassesFrom(BASELINE_CLASSES);
        baselineFleet.start(SLOTS);
      }
      for (int i = 0; i < repeats; i++) {
        new MeasurePath(connections, requestsPerSecond)
            .run(folder, oneDaemon, twoDaemons, baselineFleet, port + 90);
      }
    }
    System.out.println("logs: " + folder);
  }

  private void run(
      Path folder,
      MeasurementFleet oneDaemon,
      MeasurementFleet twoDaemons,
      MeasurementFleet baselineFleet,
      int passThroughPort)
      throws IOException, InterruptedException {
    System.out.printf(
        "%d connections, open loop at %.0f/s, load average %s%n",
        connections, requestsPerSecond, Files.readString(Path.of("/proc/loadavg")).strip());
    System.out.printf(
        "%-14s %9s %7s %9s %11s %6s %7s %7s %7s%n",
        "path",
        "req/s",
        "failed",
        "us/req",
        "req/s/core",
        "ratio",
        "p50us",
        "p99us",
        "maxus",
        "added p50");
    String[] proxyArguments = new String[TARGETS + 1];
    proxyArguments[0] = Integer.toString(passThroughPort);
    for (int i = 0; i < TARGETS; i++) {
      proxyArguments[i + 1] = "127.0.0.1:" + oneDaemon.targetPort(i);
    }
    List<String> keys = oneDaemon.keysDispatchedBy(0, CANDIDATE_KEYS);
    try (ChildProcess passThrough =
        ChildProcess.start(folder.resolve("pass.log"), PassThroughProxy.class, proxyArguments)) {
      awaitPort(passThroughPort);
      List<ChildProcess> bothDaemons = List.of(twoDaemons.daemon(0), twoDaemons.daemon(1));
      List<MeasuredPath> paths = new ArrayList<>();
      paths.add(new MeasuredPath("direct", oneDaemon.targetPort(0), keys, List.of()));
      paths.add(new MeasuredPath("pass-through", passThroughPort, keys, List.of(passThrough)));
      paths.add(
          new MeasuredPath(
              "one daemon", oneDaemon.httpPort(0), keys, List.of(oneDaemon.daemon(0))));
      // The leader chooses the dispatcher; the other daemon is the entry and forwards requests.
      int dispatcher = twoDaemons.keysDispatchedBy(0, CANDIDATE_KEYS).isEmpty() ? 1 : 0;
      List<String> remoteKeys = twoDaemons.keysDispatchedBy(dispatcher, CANDIDATE_KEYS);
      paths.add(
          new MeasuredPath("hop", twoDaemons.httpPort(1 - dispatcher), remoteKeys, bothDaemons));
      if (BASELINE_CLASSES != null) {
        paths.add(
            new MeasuredPath(
                "baseline", baselineFleet.httpPort(0), keys, List.of(baselineFleet.daemon(0))));
      }
      for (MeasuredPath path : paths) {
        path.loadGenerator.closedLoop(WARM_UP_SECONDS);
      }
      // Each round measures all paths, because the load of a shared machine varies over time.
      for (int round = 0; round < ROUNDS; round++) {
        for (MeasuredPath path : paths) {
          path.measure();
        }
      }
      for (MeasuredPath path : paths) {
        HttpLoadGenerator.Result openLoop =
            path.loadGenerator.openLoop(OPEN_LOOP_SECONDS, requestsPerSecond);
        path.print(paths.get(1), openLoop);
        path.loadGenerator.close();
      }
    }
  }

  /** One path to the targets, with its accumulated measurements. */
  private final class MeasuredPath {
    private final String name;
    private final HttpLoadGenerator loadGenerator;
    private final List<ChildProcess> proxies;
    private double cpuSeconds;
    private double seconds;
    private long completed;
    private long failed;

    private MeasuredPath(String name, int port, List<String> keys, List<ChildProcess> proxies) {
      this.name = name;
      this.loadGenerator = new HttpLoadGenerator(port, MeasurementFleet.SERVICE, keys, connections);
      this.proxies = proxies;
    }

    private void measure() throws InterruptedException {
      Duration cpuTimeBefore = cpuTime(proxies);
      HttpLoadGenerator.Result closedLoop = loadGenerator.closedLoop(CLOSED_LOOP_SECONDS);
      cpuSeconds += cpuTime(proxies).minus(cpuTimeBefore).toNanos() / 1e9;
      seconds += closedLoop.seconds();
      completed += closedLoop.completed();
      failed += closedLoop.failed();
    }

    private double requestsPerCpuSecond() {
      return cpuSeconds == 0 ? 0 : completed / cpuSeconds;
    }

    private void print(MeasuredPath reference, HttpLoadGenerator.Result openLoop) {
      System.out.printf(
          "%-14s %9.0f %7d %9.1f %11.0f %6.2f %7d %7d %7d%n",
          name,
          completed / seconds,
          failed + openLoop.failed(),
          1e6 * cpuSeconds / completed,
          requestsPerCpuSecond(),
          requestsPerCpuSecond() / reference.requestsPerCpuSecond(),
          openLoop.latency().getValueAtPercentile(50),
          openLoop.latency().getValueAtPercentile(99),
          openLoop.latency().getMaxValue());
    }
  }

  private static Duration cpuTime(List<ChildProcess> processes) {
    return processes.stream().map(ChildProcess::cpuTime).reduce(Duration.ZERO, Duration::plus);
  }

  private static void awaitPort(int port) throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      try (java.net.Socket socket = new java.net.Socket("127.0.0.1", port)) {
        return;
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
    throw new IllegalStateException("nothing listens on port " + port);
  }
}
