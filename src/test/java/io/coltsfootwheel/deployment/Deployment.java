package io.coltsfootwheel.deployment;

import io.coltsfootwheel.bench.ProcessGroup;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/** Machines of the deployment; restarts processes that end by themselves. */
final class Deployment implements AutoCloseable {
  /** Number of control machines that may be lost at the same time. */
  static final int MAX_LOST = 2;

  private static final int SEED_COUNT = 3;
  private static final long WATCH_MILLIS = 100;
  private static final long START_SPREAD_MILLIS = 300;
  private static final Duration READINESS_TIMEOUT = Duration.ofMillis(500);

  private final List<Machine> core;
  private final List<Machine> edge;
  private final ProcessGroup processes;
  private final ScheduledExecutorService watcher =
      Executors.newScheduledThreadPool(Site.CORE_COUNT + Site.EDGE_COUNT);
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(READINESS_TIMEOUT)
          .build();

  /**
   * Creates the machines without starting them.
   *
   * @param site addresses and settings
   * @param deployFile deploy file
   * @param launch turns the role of the deploy file into the one that is run
   * @param edgeCount number of entry machines
   * @param clock clock of the run
   */
  Deployment(
      Site site,
      DeployFile deployFile,
      UnaryOperator<DeployFile.Role> launch,
      int edgeCount,
      RunClock clock) {
    this.processes = new ProcessGroup(site.folder());
    DeployFile.Role coreRole = launch.apply(deployFile.roleOn("core"));
    DeployFile.Role edgeRole = launch.apply(deployFile.roleOn("edge"));
    this.core =
        IntStream.range(0, Site.CORE_COUNT)
            .mapToObj(
                i ->
                    new Machine(
                        "core-" + i,
                        true,
                        site.coreIp(i),
                        Site.zone(i),
                        coreRole,
                        site,
                        processes,
                        clock))
            .toList();
    this.edge =
        IntStream.range(0, edgeCount)
            .mapToObj(
                i ->
                    new Machine(
                        "edge-" + i,
                        false,
                        site.edgeIp(i),
                        Site.zone(i),
                        edgeRole,
                        site,
                        processes,
                        clock))
            .toList();
  }

  List<Machine> core() {
    return core;
  }

  List<Machine> edge() {
    return edge;
  }

  List<Machine> all() {
    List<Machine> all = new ArrayList<>(core);
    all.addAll(edge);
    return all;
  }

  /** Starts all machines in random order and begins to watch them. */
  void start(Random random) throws InterruptedException {
    List<Machine> order = all();
    Collections.shuffle(order, random);
    List<String> seeds = addresses(core.subList(0, SEED_COUNT));
    for (Machine machine : order) {
      machine.writeSettings(seeds, true);
      machine.start();
      TimeUnit.MILLISECONDS.sleep(START_SPREAD_MILLIS / order.size());
    }
    order.forEach(
        machine ->
            watcher.scheduleWithFixedDelay(
                () -> watch(machine), WATCH_MILLIS, WATCH_MILLIS, TimeUnit.MILLISECONDS));
  }

  /** Returns the control addresses of three core machines. */
  List<String> randomSeeds(Random random) {
    List<Machine> shuffled = new ArrayList<>(core);
    Collections.shuffle(shuffled, random);
    return addresses(shuffled.subList(0, SEED_COUNT));
  }

  private static List<String> addresses(List<Machine> machines) {
    return machines.stream().map(m -> m.ip() + ":" + Site.CONTROL_PORT).toList();
  }

  /** Reserves a random free entry machine. */
  Optional<Machine> reserveEdge(Random random) {
    return reserveOneOf(edge, random);
  }

  /** Reserves a random core machine if not more than the tolerated number is lost with it. */
  synchronized Optional<Machine> reserveCore(Random random) {
    List<Machine> lost = core.stream().filter(m -> m.isLost() || m.isReserved()).toList();
    if (lost.size() >= MAX_LOST) {
      return Optional.empty();
    }
    return reserveOneOf(core.stream().filter(m -> !lost.contains(m)).toList(), random);
  }

  private static Optional<Machine> reserveOneOf(List<Machine> machines, Random random) {
    List<Machine> shuffled = new ArrayList<>(machines);
    Collections.shuffle(shuffled, random);
    return shuffled.stream().filter(Machine::tryReserve).findFirst();
  }

  /** Reserves a machine as soon as it is free. */
  void reserve(Machine machine) throws InterruptedException {
    while (!machine.tryReserve()) {
      TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
    }
  }

  /** Waits until no core machine is lost. */
  void awaitNoneLost() throws InterruptedException {
    while (core.stream().anyMatch(Machine::isLost)) {
      TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
    }
  }

  /** Waits until all processes are ready or a time has passed; returns whether all are. */
  boolean awaitReady(long timeoutMillis) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (!all().stream().allMatch(Machine::isReady)) {
      if (System.nanoTime() - endNanos > 0) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
    }
    return true;
  }

  private void watch(Machine machine) {
    int boot = machine.boot();
    machine.observe(boot, machine.isReady() || isReady(machine));
  }

  /** Returns whether an entry says so, or a control process answers a read in any way. */
  private boolean isReady(Machine machine) {
    URI uri =
        URI.create(
            machine.isCore()
                ? "http://%s:%d/api/rpc?call=config.get".formatted(machine.ip(), Site.CONTROL_PORT)
                : "http://%s:%d/api/readyz".formatted(machine.ip(), Site.READY_PORT));
    HttpRequest.Builder request = HttpRequest.newBuilder(uri).timeout(READINESS_TIMEOUT);
    if (machine.isCore()) {
      request.POST(HttpRequest.BodyPublishers.ofString("{}"));
    }
    try {
      int status =
          client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
      return machine.isCore() || status == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public void close() {
    watcher.shutdownNow();
    try {
      watcher.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    processes.close();
  }
}
