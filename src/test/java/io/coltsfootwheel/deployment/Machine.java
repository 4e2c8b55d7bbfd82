package io.coltsfootwheel.deployment;

import io.coltsfootwheel.bench.ProcessGroup;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Machine with one process, which the run starts, signals and ends. It records its outages and
 * starts. One thread at a time disturbs a machine, see {@link #tryReserve()}; any may read it.
 */
final class Machine {
  private static final List<String> ENVIRONMENT = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
  private static final String SETTINGS_VARIABLE = "COLTSFOOTWHEEL_NODE_FILE";

  private final String name;
  private final boolean isCore;
  private final String ip;
  private final String zone;
  private final DeployFile.Role role;
  private final Site site;
  private final ProcessGroup processes;
  private final RunClock clock;
  private final List<Outage> outages = new ArrayList<>();
  private final List<ProcessStart> starts = new ArrayList<>();
  private Optional<Process> process = Optional.empty();
  private List<String> seeds = List.of();
  private boolean reserved;
  private long outageBeginMillis;
  private String outageCause = "first start";
  private boolean isOut = true;

  Machine(
      String name,
      boolean isCore,
      String ip,
      String zone,
      DeployFile.Role role,
      Site site,
      ProcessGroup processes,
      RunClock clock) {
    this.name = name;
    this.isCore = isCore;
    this.ip = ip;
    this.zone = zone;
    this.role = role;
    this.site = site;
    this.processes = processes;
    this.clock = clock;
  }

  String name() {
    return name;
  }

  String ip() {
    return ip;
  }

  boolean isCore() {
    return isCore;
  }

  /** Returns the ports that the process listens on. */
  List<Integer> ports() {
    return isCore
        ? List.of(Site.CONTROL_PORT, Site.FIRST_INTERNAL_PORT, Site.METRICS_PORT)
        : List.of(
            Site.FRONT_PORT,
            Site.READY_PORT,
            Site.FIRST_INTERNAL_PORT,
            Site.FIRST_INTERNAL_PORT + 1,
            Site.METRICS_PORT);
  }

  /** Extends the cause of the current outage. */
  synchronized void note(String detail) {
    outageCause = outageCause + ", " + detail;
  }

  /** Reserves the machine for one disturbance; returns whether it was free. */
  synchronized boolean tryReserve() {
    boolean isFree = !reserved;
    reserved = true;
    return isFree;
  }

  synchronized boolean isReserved() {
    return reserved;
  }

  synchronized void release() {
    reserved = false;
  }

  synchronized int boot() {
    return starts.size();
  }

  synchronized boolean isOut() {
    return isOut;
  }

  /** Returns whether the machine has been out for longer than a time. */
  synchronized boolean isOutLongerThan(long millis) {
    return isOut && clock.nowMillis() - outageBeginMillis > millis;
  }

  /** Returns whether the machine counts as lost: out, or back for less than the catch-up time. */
  synchronized boolean isLost() {
    return isOut
        || outages.stream()
            .anyMatch(o -> clock.nowMillis() - o.endMillis() < Bounds.CATCH_UP_MILLIS);
  }

  synchronized List<Outage> outages() {
    List<Outage> all = new ArrayList<>(outages);
    if (isOut) {
      all.add(new Outage(name, isCore, outageCause, outageBeginMillis, Long.MAX_VALUE));
    }
    return all;
  }

  synchronized List<ProcessStart> starts() {
    return List.copyOf(starts);
  }

  /** Writes the settings file. */
  synchronized void writeSettings(List<String> newSeeds, boolean bootstrap) {
    seeds = newSeeds;
    try {
      Path next = site.folder().resolve(name + ".toml.next");
      Files.writeString(next, site.settings(name, role.name(), isCore, ip, zone, seeds, bootstrap));
      Files.move(
          next,
          site.settingsFile(name),
          StandardCopyOption.REPLACE_EXISTING,
          StandardCopyOption.ATOMIC_MOVE);
      if (isCore) {
        Files.createDirectories(site.dataFolder(name));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts the process again, not as the first start of the system. */
  void restart() {
    writeSettings(seeds, false);
    start();
  }

  /** Starts the process, which ends the outage of a machine. */
  synchronized void start() {
    ProcessBuilder builder = new ProcessBuilder(role.command()).directory(new File("."));
    Map<String, String> environment = new HashMap<>();
    ENVIRONMENT.forEach(
        variable ->
            Optional.ofNullable(System.getenv(variable))
                .ifPresent(value -> environment.put(variable, value)));
    environment.put(SETTINGS_VARIABLE, site.settingsFile(name).toString());
    builder.environment().clear();
    builder.environment().putAll(environment);
    long startedMillis = clock.nowMillis();
    process = Optional.of(processes.start(name, builder));
    starts.add(
        new ProcessStart(
            name,
            starts.size() + 1,
            startedMillis,
            OptionalLong.empty(),
            OptionalLong.empty(),
            OptionalInt.empty(),
            startedMillis));
    endOutage();
  }

  private synchronized void beginOutage(String cause) {
    if (!isOut) {
      noteState(false);
      isOut = true;
      outageBeginMillis = clock.nowMillis();
      outageCause = cause;
    }
  }

  private synchronized void endOutage() {
    if (isOut) {
      isOut = false;
      outages.add(new Outage(name, isCore, outageCause, outageBeginMillis, clock.nowMillis()));
    }
  }

  /** Kills the process. */
  void kill(String cause) throws InterruptedException {
    beginOutage(cause);
    Process killed = currentProcess();
    killed.destroyForcibly();
    killed.waitFor();
  }

  /** Sends SIGKILL without waiting for the end. */
  void sendKill(String cause) {
    beginOutage(cause);
    currentProcess().destroyForcibly();
  }

  /** Stops the process with SIGTERM; returns whether it ended within the grace time. */
  boolean stop(String cause) throws InterruptedException {
    beginOutage(cause);
    Process stopped = currentProcess();
    stopped.destroy();
    if (stopped.waitFor(Bounds.GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
      return true;
    }
    kill(cause);
    return false;
  }

  /** Suspends the process. */
  void pause() throws IOException, InterruptedException {
    beginOutage("pause");
    signalIfAlive("STOP");
  }

  /** Resumes a suspended process, which ends the outage. */
  void resume() throws IOException, InterruptedException {
    signalIfAlive("CONT");
    endOutage();
  }

  void reload() throws IOException, InterruptedException {
    signalIfAlive("HUP");
  }

  private void signalIfAlive(String signal) throws IOException, InterruptedException {
    if (currentProcess().isAlive()) {
      processes.signal(name, signal);
    }
  }

  /** Returns the ID of the last started process. */
  long pid() {
    return currentProcess().pid();
  }

  private synchronized Process currentProcess() {
    return process.orElseThrow();
  }

  /** Removes the contents of the data folder. */
  void wipe() {
    try (Stream<Path> files = Files.walk(site.dataFolder(name))) {
      files
          .sorted(Comparator.reverseOrder())
          .filter(file -> !file.equals(site.dataFolder(name)))
          .forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Notes whether the process is ready or has ended by itself, and restarts an ended one, as the
   * platform does.
   *
   * @param boot boot that was asked whether it is ready
   * @param isReady answer
   */
  synchronized void observe(int boot, boolean isReady) {
    if (isOut || process.isEmpty() || boot != boot()) {
      return;
    }
    noteState(isReady);
    if (!process.get().isAlive()) {
      restart();
    }
  }

  private void noteState(boolean isReady) {
    ProcessStart last = starts.get(starts.size() - 1);
    long now = clock.nowMillis();
    if (process.get().isAlive()) {
      OptionalLong readyMillis =
          last.readyMillis().isEmpty() && isReady ? OptionalLong.of(now) : last.readyMillis();
      replaceLast(last, readyMillis, last.endedMillis(), last.exitStatus(), now);
    } else {
      OptionalInt exitStatus = OptionalInt.of(process.get().exitValue());
      replaceLast(last, last.readyMillis(), OptionalLong.of(now), exitStatus, now);
    }
  }

  private void replaceLast(
      ProcessStart last,
      OptionalLong readyMillis,
      OptionalLong endedMillis,
      OptionalInt exitStatus,
      long watchedUntilMillis) {
    starts.set(
        starts.size() - 1,
        new ProcessStart(
            name,
            last.boot(),
            last.startedMillis(),
            readyMillis,
            endedMillis,
            exitStatus,
            watchedUntilMillis));
  }

  /** Returns whether the last start has been seen ready. */
  synchronized boolean isReady() {
    return !isOut && !starts.isEmpty() && starts.get(starts.size() - 1).readyMillis().isPresent();
  }
}
