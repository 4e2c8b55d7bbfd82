package io.coltsfootwheel.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Runs real control and entry processes under planned work only: overlapping SIGTERMs, SIGHUPs with
 * changed settings files and changes of configuration. Finds requests that a target received, or
 * that were sent whole long before, and that got no response, and refusals of executed requests.
 */
public final class StopSoak implements AutoCloseable {
  /** Time after which the connection of a request that was sent whole may not just close. */
  private static final long LOSS_SLACK_MILLIS = 200;

  private static final int CLIENT_COUNT = 24;
  private static final int TARGET_COUNT = 3;
  private static final int MIN_SERVING_ENTRIES = 1;
  private static final int THREAD_DUMP_MILLIS = 300;
  private static final int KILL_TIMEOUT_SECONDS = 10;
  private static final long REPORT_INTERVAL_MILLIS = 300;
  private static final int MIN_ACTION_INTERVAL_MILLIS = 150;
  private static final int MAX_ACTION_INTERVAL_MILLIS = 600;
  private static final int MAX_RELEASE_INTERVAL_MILLIS = 1_500;

  private final Random random;
  private final Path folder;
  private final StopSoakCluster cluster;
  private final Set<String> receivedIds = ConcurrentHashMap.newKeySet();
  private final StopSoakNotices notices = new StopSoakNotices();
  private final Map<InetSocketAddress, Queue<Long>> startNanosByEntry = new ConcurrentHashMap<>();
  private final Random targetRandom;
  private final Queue<StopSoakClient.Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final List<StopSoakTarget> targets = new ArrayList<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Long> stopNanosByProcess = new ConcurrentHashMap<>();
  private final Set<String> unexpectedEnds = new TreeSet<>();
  private volatile boolean running = true;
  private long version = 1;
  private int stopCount;
  private int killCount;
  private int configurationCount;

  /**
   * Result of one run.
   *
   * @param summary counts in one line
   * @param violations one line for each violation
   */
  public record Result(String summary, List<String> violations) {}

  /**
   * Prepares a run.
   *
   * @param seed seed of the schedule
   * @param folder folder for logs, settings and data
   */
  public StopSoak(long seed, Path folder) {
    this.random = new Random(seed);
    this.targetRandom = new Random(~seed);
    this.folder = folder;
    this.cluster = new StopSoakCluster(folder);
  }

  /**
   * Runs seeds and exits with status 1 when one of them finds a violation.
   *
   * @param arguments options {@code --seed N}, {@code --seeds COUNT} and {@code --seconds N}
   * @throws Exception when a run cannot start
   */
  public static void main(String[] arguments) throws Exception {
    long firstSeed = 1;
    int seedCount = 1;
    int seconds = 25;
    for (int i = 0; i + 1 < arguments.length; i += 2) {
      switch (arguments[i]) {
        case "--seed" -> firstSeed = Long.parseLong(arguments[i + 1]);
        case "--seeds" -> seedCount = Integer.parseInt(arguments[i + 1]);
        case "--seconds" -> seconds = Integer.parseInt(arguments[i + 1]);
        default -> throw new IllegalArgumentException("unknown option " + arguments[i]);
      }
    }
    int violatingSeeds = 0;
    for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      Path folder = Files.createTempDirectory("stop-soak-" + seed + "-");
      try (StopSoak soak = new StopSoak(seed, folder)) {
        Result result = soak.run(seconds);
        System.out.println("seed " + seed + ": " + result.summary() + " logs " + folder);
        result.violations().forEach(v -> System.out.println("  " + v));
        violatingSeeds += result.violations().isEmpty() ? 0 : 1;
      }
    }
    System.out.println(seedCount + " seeds, " + violatingSeeds + " with violations");
    System.exit(violatingSeeds == 0 ? 0 : 1);
  }

  /**
   * Starts all processes, disturbs them and judges the outcomes.
   *
   * @param seconds duration of the disturbances
   * @return the result
   * @throws Exception when the processes do not start
   */
  public Result run(int seconds) throws Exception {
    startProcesses();
    startClients();
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() - endNanos < 0) {
      disturb();
      finishStops();
      int intervalMillis =
          MIN_ACTION_INTERVAL_MILLIS
              + random.nextInt(MAX_ACTION_INTERVAL_MILLIS - MIN_ACTION_INTERVAL_MILLIS);
      TimeUnit.MILLISECONDS.sleep(intervalMillis);
    }
    while (!stopNanosByProcess.isEmpty()) {
      finishStops();
      TimeUnit.MILLISECONDS.sleep(50);
    }
    running = false;
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    return judge();
  }

  private void startProcesses() throws InterruptedException {
    for (int i = 0; i < StopSoakCluster.CONTROL_COUNT; i++) {
      cluster.start(StopSoakCluster.control(i), true);
    }
    for (int i = 0; i < StopSoakCluster.ENTRY_COUNT; i++) {
      cluster.start(StopSoakCluster.entry(i), false);
    }
    cluster.callUntilAccepted("?call=config.put", "0", StopSoakCluster.configuration(version));
    for (int i = 0; i < TARGET_COUNT; i++) {
      Random pauses = new Random(targetRandom.nextLong());
      StopSoakTarget target =
          new StopSoakTarget("t-" + i, cluster.targetHost(), receivedIds, notices, pauses);
      targets.add(target);
      threads.execute(() -> report(target));
    }
    threads.execute(this::releaseTargets);
    for (int i = 0; i < StopSoakCluster.ENTRY_COUNT; i++) {
      cluster.awaitReady(i);
    }
  }

  private void report(StopSoakTarget target) {
    try {
      while (running) {
        String query = "?call=instances.heartbeat&of=" + target.id();
        cluster.callUntilAccepted(query, "0", target.nextReport(StopSoakCluster.SERVICE));
        TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Lets one target after another leave and come back; each second one tells control. */
  private void releaseTargets() {
    try {
      for (int i = 0; running; i++) {
        TimeUnit.MILLISECONDS.sleep(targetRandom.nextInt(MAX_RELEASE_INTERVAL_MILLIS));
        StopSoakTarget next = targets.get(targetRandom.nextInt(targets.size()));
        if (targets.stream().noneMatch(StopSoakTarget::isLeaving)) {
          next.leave(i % 2 == 0);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startClients() {
    for (int i = 0; i < CLIENT_COUNT; i++) {
      Random clientRandom = new Random(random.nextLong());
      threads.execute(
          new StopSoakClient(
              "c" + i,
              clientRandom,
              () -> chooseEntry(clientRandom),
              outcomes::add,
              () -> running));
    }
  }

  /** Chooses any entry, so that entries that stop receive new connections too. */
  private InetSocketAddress chooseEntry(Random clientRandom) {
    return cluster.clientAddress(clientRandom.nextInt(StopSoakCluster.ENTRY_COUNT));
  }

  private void disturb() throws Exception {
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> stopEntry();
      case 3 -> stopControl();
      case 4 -> signalAgain();
      case 5 -> reloadSettings();
      default -> changeConfiguration();
    }
  }

  private void stopEntry() throws Exception {
    long stoppingCount =
        stopNanosByProcess.keySet().stream().filter(n -> n.startsWith("entry")).count();
    if (StopSoakCluster.ENTRY_COUNT - stoppingCount > MIN_SERVING_ENTRIES) {
      stop(StopSoakCluster.entry(random.nextInt(StopSoakCluster.ENTRY_COUNT)));
    }
  }

  /** Stops a control process while all others run; more would cost the quorum. */
  private void stopControl() throws Exception {
    boolean allRun = true;
    for (int i = 0; i < StopSoakCluster.CONTROL_COUNT; i++) {
      allRun &= isRunning(StopSoakCluster.control(i));
    }
    if (allRun) {
      stop(StopSoakCluster.control(random.nextInt(StopSoakCluster.CONTROL_COUNT)));
    }
  }

  private boolean isRunning(String name) {
    return !stopNanosByProcess.containsKey(name) && cluster.hasStarted(name);
  }

  private void stop(String name) throws Exception {
    if (isRunning(name)) {
      stopNanosByProcess.put(name, System.nanoTime());
      stopCount++;
      signalIfAlive(name, "TERM");
    }
  }

  private void signalAgain() throws Exception {
    for (String name : stopNanosByProcess.keySet()) {
      signalIfAlive(name, random.nextBoolean() ? "TERM" : "HUP");
    }
  }

  /** A stopping process may end at any time. */
  private void signalIfAlive(String name, String signal) throws Exception {
    if (cluster.processes().isAlive(name)) {
      try {
        cluster.processes().signal(name, signal);
      } catch (IllegalStateException e) {
        System.err.println(e.getMessage() + ", it has ended");
      }
    }
  }

  private void reloadSettings() throws Exception {
    int index = random.nextInt(StopSoakCluster.ENTRY_COUNT + StopSoakCluster.CONTROL_COUNT);
    String name =
        index < StopSoakCluster.ENTRY_COUNT
            ? StopSoakCluster.entry(index)
            : StopSoakCluster.control(index - StopSoakCluster.ENTRY_COUNT);
    cluster.writeSettings(name, false, random);
    if (isRunning(name)) {
      signalIfAlive(name, "HUP");
    }
  }

  private void changeConfiguration() throws InterruptedException {
    int changes = 1 + random.nextInt(3);
    for (int i = 0; i < changes; i++) {
      String base = "r" + version;
      version++;
      cluster.callUntilAccepted("?call=config.put", base, StopSoakCluster.configuration(version));
      configurationCount++;
    }
  }

  /** Kills stopping processes after the grace period, and starts those that have ended again. */
  private void finishStops() throws Exception {
    recordUnexpectedEnds();
    for (Map.Entry<String, Long> stop : Map.copyOf(stopNanosByProcess).entrySet()) {
      String name = stop.getKey();
      long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stop.getValue());
      if (!cluster.processes().isAlive(name)) {
        cluster.start(name, false);
        recordStart(name);
        stopNanosByProcess.remove(name);
      } else if (elapsedMillis > StopSoakCluster.GRACE_MILLIS) {
        kill(name);
      }
    }
  }

  private void recordStart(String name) {
    for (int i = 0; i < StopSoakCluster.ENTRY_COUNT; i++) {
      if (StopSoakCluster.entry(i).equals(name)) {
        startNanosByEntry
            .computeIfAbsent(cluster.clientAddress(i), e -> new ConcurrentLinkedQueue<>())
            .add(System.nanoTime());
      }
    }
  }

  private boolean wasStarted(InetSocketAddress entry, long fromNanos, long toNanos) {
    return startNanosByEntry.getOrDefault(entry, new ConcurrentLinkedQueue<>()).stream()
        .anyMatch(nanos -> nanos - fromNanos > 0 && toNanos - nanos > 0);
  }

  /** Kills a process that did not end in time, after it has written the stacks of its threads. */
  private void kill(String name) throws Exception {
    killCount++;
    System.err.println(Instant.now() + " " + name + " did not end within the grace period");
    signalIfAlive(name, "QUIT");
    TimeUnit.MILLISECONDS.sleep(THREAD_DUMP_MILLIS);
    signalIfAlive(name, "KILL");
    cluster.processes().awaitExit(name, KILL_TIMEOUT_SECONDS);
  }

  private void recordUnexpectedEnds() {
    for (String name : cluster.names()) {
      if (!stopNanosByProcess.containsKey(name) && !cluster.processes().isAlive(name)) {
        unexpectedEnds.add(name);
      }
    }
  }

  private Result judge() {
    List<String> violations = new ArrayList<>();
    unexpectedEnds.forEach(name -> violations.add("process ended by itself: " + name));
    int answered = 0;
    int refused = 0;
    for (StopSoakClient.Outcome outcome : outcomes) {
      boolean received = receivedIds.contains(outcome.id());
      answered += outcome.status() == 200 ? 1 : 0;
      refused += outcome.status() == 503 ? 1 : 0;
      violation(outcome, received).ifPresent(v -> violations.add(v + ": " + outcome));
    }
    Map<String, StopSoakClient.Outcome> outcomeById =
        outcomes.stream().collect(Collectors.toMap(StopSoakClient.Outcome::id, o -> o));
    violations.addAll(notices.violations(outcomeById, this::wasStarted));
    String summary =
        ("%d stops, %d killed, %d configurations, %d requests, %d answered, %d refused, "
                + "%d refusals with a pause, %d answers of leaving targets, %d violations")
            .formatted(
                stopCount,
                killCount,
                configurationCount,
                outcomes.size(),
                answered,
                refused,
                notices.refusalCount(),
                notices.leavingCount(),
                violations.size());
    return new Result(summary, violations);
  }

  private static Optional<String> violation(StopSoakClient.Outcome outcome, boolean received) {
    String text = null;
    if (outcome.status() == 0 && received) {
      text = "forwarded and not answered";
    } else if (outcome.status() == 0 && outcome.waitedMillis() > LOSS_SLACK_MILLIS) {
      text = "sent and neither answered nor refused";
    } else if (outcome.status() == 503 && received) {
      text = "refused as not executed, but a target received it";
    } else if (outcome.status() == 200 && !outcome.idMatches()) {
      text = "response of another request";
    } else if (outcome.status() != 0 && outcome.status() != 200 && outcome.status() != 503) {
      text = "failed by the entry";
    }
    return Optional.ofNullable(text);
  }

  @Override
  public void close() throws IOException {
    running = false;
    cluster.close();
    targets.forEach(StopSoakTarget::close);
    threads.shutdownNow();
  }
}
