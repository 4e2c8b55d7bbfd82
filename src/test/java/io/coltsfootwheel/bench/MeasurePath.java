package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Compares the cost of a request through daemons with a direct call and a bare pass-through.
 *
 * <p>Prints, for each path, the throughput of a closed loop, the processor time of the proxies for
 * each request, and the latency of an open loop at a fixed rate. Usage: {@code bin/measure-path
 * [CONNECTIONS [RATE [REPEATS]]]}.
 */
public final class MeasurePath {
  private static final int TARGETS = 4;
  private static final int SLOTS = 64;
  private static final int KEYS = 256;
  private static final double WARM_SECONDS = 5;
  private static final double ROUND_SECONDS = 1;
  private static final int ROUNDS = 3;
  private static final double OPEN_SECONDS = 1.5;

  /** Classes of an earlier commit that one more daemon runs, to compare them in one run. */
  private static final String BASELINE = System.getProperty("bench.baseline");

  private final int connections;
  private final double rate;

  private MeasurePath(int connections, double rate) {
    this.connections = connections;
    this.rate = rate;
  }

  /**
   * Runs the measurement.
   *
   * @param arguments number of connections (64), rate of the open loop (1000), repeats (1)
   * @throws Exception when a process does not start or a file cannot be written
   */
  public static void main(String[] arguments) throws Exception {
    int connections = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 64;
    double rate = arguments.length > 1 ? Double.parseDouble(arguments[1]) : 1_000;
    int repeats = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 1;
    Path folder = Files.createTempDirectory("measure-path");
    // Below the range of outgoing connections; differs between runs that overlap.
    int port = 21_000 + (int) (ProcessHandle.current().pid() % 80) * 100;
    try (TestFleet one = new TestFleet(folder.resolve("one"), 1, 1, TARGETS, port);
        TestFleet old = new TestFleet(folder.resolve("old"), 1, 1, TARGETS, port + 60);
        TestFleet two = new TestFleet(folder.resolve("two"), 2, 1, TARGETS, port + 30)) {
      one.start(SLOTS);
      two.start(SLOTS);
      if (BASELINE != null) {
        old.preferClasses(BASELINE);
        old.start(SLOTS);
      }
      for (int i = 0; i < repeats; i++) {
        new MeasurePath(connections, rate).run(folder, one, two, old, port + 90);
      }
    }
    System.out.println("logs: " + folder);
  }

  private void run(Path folder, TestFleet one, TestFleet two, TestFleet old, int passPort)
      throws IOException, InterruptedException {
    System.out.printf(
        "%d connections, open loop at %.0f/s, load average %s%n",
        connections, rate, Files.readString(Path.of("/proc/loadavg")).strip());
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
    String[] proxied = new String[TARGETS + 1];
    proxied[0] = Integer.toString(passPort);
    for (int i = 0; i < TARGETS; i++) {
      proxied[i + 1] = "127.0.0.1:" + one.targetPort(i);
    }
    List<String> keys = one.keysOf(0, KEYS);
    try (ChildProcess pass =
        ChildProcess.start(folder.resolve("pass.log"), PassThroughProxy.class, proxied)) {
      awaitPort(passPort);
      List<ChildProcess> both = List.of(two.daemon(0), two.daemon(1));
      List<MeasuredPath> paths = new ArrayList<>();
      paths.add(new MeasuredPath("direct", one.targetPort(0), keys, List.of()));
      paths.add(new MeasuredPath("pass-through", passPort, keys, List.of(pass)));
      paths.add(new MeasuredPath("one daemon", one.httpPort(0), keys, List.of(one.daemon(0))));
      // The dispatchers of the targets are placed by the leader, so the entry is the other daemon.
      int dispatcher = two.keysOf(0, KEYS).isEmpty() ? 1 : 0;
      List<String> far = two.keysOf(dispatcher, KEYS);
      paths.add(new MeasuredPath("hop", two.httpPort(1 - dispatcher), far, both));
      if (BASELINE != null) {
        paths.add(new MeasuredPath("baseline", old.httpPort(0), keys, List.of(old.daemon(0))));
      }
      for (MeasuredPath path : paths) {
        path.load.closedLoop(WARM_SECONDS);
      }
      // Interleaved, because the load of a shared machine changes between rounds.
      for (int round = 0; round < ROUNDS; round++) {
        for (MeasuredPath path : paths) {
          path.measure();
        }
      }
      for (MeasuredPath path : paths) {
        HttpLoad.Result open = path.load.openLoop(OPEN_SECONDS, rate);
        path.print(paths.get(1), open);
        path.load.close();
      }
    }
  }

  /** One way to the targets, with what has been measured on it. */
  private final class MeasuredPath {
    private final String name;
    private final HttpLoad load;
    private final List<ChildProcess> proxies;
    private double cpuSeconds;
    private double seconds;
    private long completed;
    private long failed;

    private MeasuredPath(String name, int port, List<String> keys, List<ChildProcess> proxies) {
      this.name = name;
      this.load = new HttpLoad(port, TestFleet.SERVICE, keys, connections);
      this.proxies = proxies;
    }

    private void measure() throws InterruptedException {
      Duration before = cpu(proxies);
      HttpLoad.Result closed = load.closedLoop(ROUND_SECONDS);
      cpuSeconds += cpu(proxies).minus(before).toNanos() / 1e9;
      seconds += closed.seconds();
      completed += closed.completed();
      failed += closed.failed();
    }

    private double perCore() {
      return cpuSeconds == 0 ? 0 : completed / cpuSeconds;
    }

    private void print(MeasuredPath reference, HttpLoad.Result open) {
      System.out.printf(
          "%-14s %9.0f %7d %9.1f %11.0f %6.2f %7d %7d %7d%n",
          name,
          completed / seconds,
          failed + open.failed(),
          1e6 * cpuSeconds / completed,
          perCore(),
          perCore() / reference.perCore(),
          open.latency().getValueAtPercentile(50),
          open.latency().getValueAtPercentile(99),
          open.latency().getMaxValue());
    }
  }

  private static Duration cpu(List<ChildProcess> processes) {
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
