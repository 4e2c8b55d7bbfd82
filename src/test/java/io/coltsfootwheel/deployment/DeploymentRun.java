package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Runs the deployment for a time under faults, and judges what was seen. */
final class DeploymentRun implements AutoCloseable {
  private static final int KEYED_TARGETS = 12;
  private static final int PLAIN_TARGETS = 6;
  private static final long SETTLE_MILLIS = 5_000;

  /**
   * Result of a run.
   *
   * @param violations broken rules
   * @param summary counts
   */
  record Result(List<Violation> violations, String summary) {}

  private final Path folder;
  private final Random random;
  private final RunClock clock = new RunClock();
  private final Recorder recorder = new Recorder();
  private final Site site;
  private final Deployment deployment;
  private final ControlCaller control;
  private final Prober prober;
  private final Operator operator;
  private final ConfigurationReader reader;
  private final FaultSchedule schedule;
  private final LargeChanges largeChanges;
  private final FinalFault finalFault;
  private final String load;
  private final boolean hasFaults;
  private final StallMeter stalls = new StallMeter(clock);
  private ProcessorTime startTime = new ProcessorTime(0, 0);
  private final List<Target> targets = new ArrayList<>();
  private final ExecutorService executor = Executors.newCachedThreadPool();

  /**
   * Prepares a run.
   *
   * @param plan what the run does
   * @param folder folder for settings, data and logs
   * @param launch turns a role of the deploy file into the one that is run
   */
  DeploymentRun(RunPlan plan, Path folder, UnaryOperator<DeployFile.Role> launch) {
    this.folder = folder;
    this.random = new Random(plan.seed());
    Random endRandom = new Random(~plan.seed());
    this.largeChanges = new LargeChanges(plan.maxLargeChanges(), endRandom);
    this.finalFault = plan.finalFaults().get(endRandom.nextInt(plan.finalFaults().size()));
    this.load = largeChanges + ", final fault " + finalFault;
    this.site = new Site(folder);
    this.deployment =
        new Deployment(
            site, DeployFile.read(Path.of("").toAbsolutePath()), launch, Site.EDGE_COUNT, clock);
    this.control = new ControlCaller(deployment.core());
    this.prober =
        new Prober(
            deployment.edge(), recorder, clock, List.copyOf(Operator.permanentRoutes().keySet()));
    this.operator =
        new Operator(control, recorder, clock, prober, largeChanges, new Random(random.nextLong()));
    this.reader = new ConfigurationReader(deployment.core(), control, recorder, clock);
    this.schedule = new FaultSchedule(deployment, plan.faults(), new Random(random.nextLong()));
    this.hasFaults = !plan.faults().isEmpty();
  }

  /** Runs the deployment and judges it. */
  Result run(int seconds) throws IOException, InterruptedException {
    executor.execute(stalls);
    deployment.start(new Random(random.nextLong()));
    startTargets();
    boolean isAccepted = operator.sendFirst();
    startTime = ProcessorTime.of(deployment.core());
    if (!isAccepted || !deployment.awaitReady(Bounds.START_MILLIS)) {
      return judge();
    }
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    prober.start(new Random(random.nextLong()));
    CompletableFuture<Void> reads =
        CompletableFuture.runAsync(() -> reader.run(new Random(random.nextLong())), executor);
    CompletableFuture<Void> changes =
        CompletableFuture.runAsync(this::changeUntilStopped, executor);
    schedule.run(TimeUnit.SECONDS.toMillis(seconds));
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    operator.stop();
    changes.join();
    end();
    executor.shutdownNow();
    return judge();
  }

  private Result judge() {
    History history = recorder.history(deployment.all());
    List<Violation> violations = new ArrayList<>(Judge.judge(history));
    violations.addAll(new ProcessLogs(folder).judge(deployment.all()));
    write(history, violations);
    return new Result(violations, summary(history));
  }

  private void changeUntilStopped() {
    try {
      operator.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Induces the final fault right after a confirmation, and reads all back after the restart. */
  private void end() throws InterruptedException {
    operator.sendRemainingLargeChanges();
    operator.changeRoutes(true);
    if (hasFaults) {
      schedule.induceFinalFault(finalFault);
      deployment.awaitReady(Bounds.START_MILLIS);
      TimeUnit.MILLISECONDS.sleep(2 * Bounds.CONTACT_WINDOW_MILLIS + Bounds.CONFIG_APPLY_MILLIS);
    } else {
      TimeUnit.MILLISECONDS.sleep(Bounds.CONFIG_APPLY_MILLIS + Bounds.CONTACT_WINDOW_MILLIS);
    }
    prober.stop();
    reader.readAtEnd();
    for (Machine entry : deployment.edge()) {
      operator.routesToProbe().forEach(route -> prober.probe(entry, route, random));
    }
  }

  private void startTargets() throws IOException {
    for (int i = 0; i < KEYED_TARGETS + PLAIN_TARGETS; i++) {
      String service =
          i < KEYED_TARGETS ? Configurations.KEYED_SERVICE : Configurations.PLAIN_SERVICE;
      Random targetRandom = new Random(random.nextLong());
      String id = "i-%08x".formatted(targetRandom.nextInt());
      targets.add(new Target(id, service, site.targetIp(i), Site.zone(i), control, targetRandom));
    }
  }

  private void write(History history, List<Violation> violations) {
    Stream<String> lines =
        Stream.of(history.changes(), history.outages(), history.starts(), violations)
            .flatMap(List::stream)
            .map(Object::toString);
    try {
      Files.write(folder.resolve("history.txt"), lines.toList());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String summary(History history) {
    Map<String, Long> changes =
        history.changes().stream()
            .collect(
                Collectors.groupingBy(
                    c -> c.kind() + " " + c.status(), TreeMap::new, Collectors.counting()));
    Map<Integer, Long> probes =
        history.probes().stream()
            .collect(Collectors.groupingBy(Probe::status, TreeMap::new, Collectors.counting()));
    Map<Integer, Long> reads =
        history.reads().stream()
            .collect(
                Collectors.groupingBy(
                    ConfigurationRead::status, TreeMap::new, Collectors.counting()));
    long outages = history.outages().size();
    long slowestMillis =
        history.changes().stream().mapToLong(c -> c.endedMillis() - c.sentMillis()).max().orElse(0);
    return ("%s, changes %s, slowest answer %d ms, probes %s, reads %s, outages %d, starts %d,"
            + " killed after grace %d, load average %.1f, longest stall of the run %d ms, until the"
            + " first configuration %s of the core")
        .formatted(
            load,
            changes,
            slowestMillis,
            probes,
            reads,
            outages,
            history.starts().size(),
            schedule.killedAfterGrace(),
            ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
            stalls.longestMillis(),
            startTime);
  }

  @Override
  public void close() {
    executor.shutdownNow();
    schedule.close();
    operator.close();
    prober.close();
    targets.forEach(Target::close);
    deployment.close();
  }
}
