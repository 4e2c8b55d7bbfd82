package io.coltsfootwheel.deployment;

import io.coltsfootwheel.bench.ProcessGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A control process, an entry process and a target on loopback addresses of their own. */
final class CrowdSystem implements AutoCloseable {
  static final String HOST = "salon.example";

  private static final int ROUTE_COUNT = 40;
  private static final long POLL_MILLIS = 50;
  private static final long START_SECONDS = 60;

  private final Path folder;
  private final CrowdLimits limits;
  private final String network = "127." + (64 + ProcessHandle.current().pid() % 120) + ".9.";
  private final ProcessGroup processes;
  private final CrowdProcess control;
  private final CrowdProcess entry;
  private final CrowdTarget target;

  /** Starts the system. */
  CrowdSystem(Path folder, CrowdLimits limits) throws IOException {
    this.folder = folder;
    this.limits = limits;
    this.processes = new ProcessGroup(folder);
    this.control = start("core", 1);
    this.entry = start("edge", 2);
    this.target = new CrowdTarget(network + 3, control.ip());
  }

  /** Configures the system and waits until it serves. */
  void awaitServing() throws InterruptedException {
    await(() -> putConfiguration() == 200, "the first configuration");
    for (CrowdPort port : CrowdPort.values()) {
      await(() -> port.answers(processOf(port).ip()), "port " + port);
    }
  }

  /** Condition that may become true. */
  interface Condition {
    boolean holds();
  }

  private static void await(Condition condition, String name) throws InterruptedException {
    if (!holdsWithin(condition, START_SECONDS)) {
      throw new IllegalStateException(name + " is not there");
    }
  }

  /** Returns whether a condition holds at a time within the next seconds. */
  static boolean holdsWithin(Condition condition, long seconds) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!condition.holds()) {
      if (System.nanoTime() - endNanos > 0) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return true;
  }

  CrowdProcess processOf(CrowdPort port) {
    return port.isOnControl() ? control : entry;
  }

  List<CrowdProcess> processes() {
    return List.of(control, entry);
  }

  private CrowdProcess start(String machineClass, int number) throws IOException {
    DeployFile.Role role =
        DeployFile.read(Path.of(""))
            .roleOn(machineClass)
            .fromClasses(System.getProperty("java.class.path"));
    String ip = network + number;
    Path settings = Files.writeString(folder.resolve(role.name() + ".toml"), settings(role, ip));
    ProcessBuilder builder = new ProcessBuilder(limits.applyTo(role.command()));
    builder.environment().put("COLTSFOOTWHEEL_NODE_FILE", settings.toString());
    return new CrowdProcess(
        processes.start(role.name(), builder), ip, processes.logFile(role.name()));
  }

  private String settings(DeployFile.Role role, String ip) {
    return """
        nodeName = "%1$s"
        ip = "%2$s"
        zone = "z"
        internalPortRange = [%3$d, 7675]
        seeds = ["%4$s1:%5$d"]
        bootstrap = true
        dataDir = "%6$s"
        heartbeatIntervalMs = 300
        bounds = ["graceS=6"]
        [listenAddrs]
        front = "%2$s:%7$d"
        ready = "%2$s:%8$d"
        control = "%2$s:%5$d"
        [limits]
        memoryMb = %9$d
        maxFds = %10$d
        linkMbps = 1000.0
        [faultTolerance]
        machines = 0
        """
        .formatted(
            role.name(),
            ip,
            Site.FIRST_INTERNAL_PORT,
            network,
            Site.CONTROL_PORT,
            folder.resolve(role.name() + ".data"),
            Site.FRONT_PORT,
            Site.READY_PORT,
            limits.memoryMegabytes(),
            limits.maxFds());
  }

  private int putConfiguration() {
    return OrdinaryCaller.status(
        new InetSocketAddress(control.ip(), Site.CONTROL_PORT),
        OrdinaryCaller.post("/api/rpc?call=config.put", "0", configuration()));
  }

  private static String configuration() {
    List<String> routes = new ArrayList<>();
    routes.add(route("served"));
    for (int i = 0; i < ROUTE_COUNT; i++) {
      routes.add(route("other-" + i));
    }
    return """
        {"version":"r1","resources":[%s,
        {"resourceType":"services","metadata":{"name":"s"},"spec":{"healthPath":"/healthz",
        "maxConnections":120,"protocol":"h1","tls":false}},
        {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
        "maxBodyBytes":8388608,"headerTimeoutMs":3000,"idleTimeoutMs":4000}}]}"""
        .formatted(String.join(",", routes));
  }

  private static String route(String name) {
    return """
        {"resourceType":"routes","metadata":{"name":"%1$s"},"spec":{"hostname":"%2$s",
        "pathPrefix":"/%1$s/","kind":"safe","timeoutMs":3000,"targetLatencyMs":400,"priority":2,
        "service":"s","maxAttempts":2}}"""
        .formatted(name, HOST);
  }

  @Override
  public void close() {
    target.close();
    processes.close();
  }
}
