package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.eventlog.StandardStreams;
import io.coltsfootwheel.listener.HttpListenerLimits;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.node.ControlNode;
import io.coltsfootwheel.node.EntryNode;
import io.coltsfootwheel.node.StopSchedule;
import io.coltsfootwheel.relay.Relay;
import io.coltsfootwheel.relay.StopReport;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import reactor.netty.resources.LoopResources;

/** Main class on machines of the platform; starts an {@code entry} or {@code control} process. */
public final class PlatformMain {
  /** First of the static fields, because loading the classes of the others takes long. */
  private static final ProcessSignals SIGNALS = ProcessSignals.install();

  /** Second, because a logger keeps the stream that it finds. */
  private static final StandardStreams STREAMS = StandardStreams.install();

  private static final ProcessEnd END = new ProcessEnd(STREAMS, Runtime.getRuntime()::halt);

  /** Port on which every process serves its metrics. */
  static final int METRICS_PORT = 9464;

  /** Longer than an entry on a small machine needs until it serves requests. */
  private static final long METRICS_DELAY_MILLIS = 3_000;

  private static final String ARCHIVE_ROLE = "archive";

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

  private final Path settingsFile;
  private final PlatformSettings settings;
  private final EventLog log;
  private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
  private final ListenerBinder binder;
  private final MetricsListener metrics;
  private volatile Optional<SettingsWatcher> settingsWatcher = Optional.empty();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final LoopResources loops = LoopResources.create("http", 1, true);

  private PlatformMain(Path settingsFile, PlatformSettings settings) {
    this.settingsFile = settingsFile;
    this.settings = settings;
    this.log = new EventLog(STREAMS.directOutput()::println, Map.of("instance", settings.name()));
    this.binder =
        new ListenerBinder(
            ListenerBinder.RETRY_TIMEOUT, SIGNALS::isStopRequested, this::logAddressInUse);
    this.metrics =
        new MetricsListener(
            new Address(settings.ip(), METRICS_PORT),
            meters,
            loops,
            log,
            HttpListenerLimits.ofProbes(settings.processLimits()));
  }

  /**
   * Starts a process.
   *
   * @param arguments the role of the process; for the role {@code archive} also a working folder
   */
  public static void main(String[] arguments) {
    if (arguments.length == 2 && arguments[0].equals(ARCHIVE_ROLE)) {
      buildArchive(Path.of(arguments[1]));
    } else {
      serve(arguments);
    }
  }

  /**
   * Runs both roles briefly and exits normally, so that the JVM writes the class-data archive. A
   * run that fails ends in the same way: processes also start with a smaller archive.
   */
  private static void buildArchive(Path folder) {
    try {
      ClassDataArchiveRun run = new ClassDataArchiveRun(folder);
      Path[] settingsFiles = run.writeSettings();
      startThread("control", settingsFiles[0]);
      startThread("entry", settingsFiles[1]);
      run.generateTraffic();
    } catch (RuntimeException e) {
      LogManager.getLogger(PlatformMain.class).warn("the class-data archive lacks classes", e);
    } finally {
      System.exit(0);
    }
  }

  private static void startThread(String role, Path settingsFile) {
    Thread thread =
        new Thread(
            () -> {
              try {
                new PlatformMain(settingsFile, PlatformSettings.read(settingsFile)).run(role);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            role);
    thread.setDaemon(true);
    thread.start();
  }

  private static void serve(String[] arguments) {
    Thread.setDefaultUncaughtExceptionHandler(new FailedThreadHandler());
    try {
      if (arguments.length != 1) {
        throw JsonFields.invalid("the role of the process is missing");
      }
      Path settingsFile = settingsFile();
      new PlatformMain(settingsFile, PlatformSettings.read(settingsFile)).run(arguments[0]);
      END.stopped();
    } catch (Throwable e) {
      // Other threads would keep the process, and only one that has ended is started again.
      END.failed("main thread", e);
    }
  }

  /**
   * Ends the process when a thread fails. A class of its own, because the run that writes the
   * class-data archive does not come here, and a lambda expression that is missing in the archive
   * is generated at each start.
   */
  private static final class FailedThreadHandler implements Thread.UncaughtExceptionHandler {
    @Override
    public void uncaughtException(Thread thread, Throwable error) {
      END.failed("thread " + thread.getName(), error);
    }
  }

  private static Path settingsFile() {
    String file = System.getenv(PlatformNames.SETTINGS_VARIABLE);
    if (file == null) {
      throw JsonFields.invalid(PlatformNames.SETTINGS_VARIABLE + " is not set");
    }
    return Path.of(file);
  }

  /** Ends the process at once: the state of the decisions may be inconsistent. */
  private void endAfterFailedDecision(Class<?> eventType, Throwable failure) {
    END.failedDecision(eventType, failure);
  }

  private void logAddressInUse(String listener) {
    log.write(LogEvent.of("listener.in_use").with("listener", listener));
  }

  private void run(String role) throws InterruptedException {
    SIGNALS.onSettingsChanged(this::reload);
    log.write(LogEvent.of("process.started").with("role", role).with("ip", settings.ip()));
    switch (role) {
      case "control" -> runControl(meters);
      case "entry" -> runEntry(meters);
      default -> throw JsonFields.invalid("role " + role + " is not control or entry");
    }
    log.close();
  }

  private void runControl(MeterRegistry registry) throws InterruptedException {
    TargetCallClient targets = new TargetCallClient(loops);
    ControlNode node =
        new ControlNode(
            settings.control(), targets::call, log, registry, this::endAfterFailedDecision);
    node.start(binder);
    ControlEndpoint endpoint =
        new ControlEndpoint(
            settings.controlAddress(),
            node,
            log,
            loops,
            HttpListenerLimits.ofCalls(settings.processLimits()));
    endpoint.start(binder);
    watchSettings(node::setSeeds);
    startMetricsLater();
    SIGNALS.awaitStop();
    log.write(LogEvent.of("process.stopping"));
    stopWatchingSettings();
    endpoint.drain(StopSchedule.withoutNotice(remainingGraceMillis()).drainMillis()).block();
    node.close();
    targets.close();
    closeServers();
    log.write(LogEvent.of("process.stopped").with("role", "control"));
  }

  private void runEntry(MeterRegistry registry) throws InterruptedException {
    Relay relay = new Relay(settings.relay(), log, registry);
    EntryNode node = new EntryNode(settings.entry(), relay, log);
    node.start(binder);
    new EntryEndpoint(
            settings.readinessAddress(),
            relay,
            loops,
            HttpListenerLimits.ofProbes(settings.processLimits()))
        .start(binder);
    watchSettings(node::addSeeds);
    startMetricsLater();
    SIGNALS.awaitStop();
    log.write(LogEvent.of("process.stopping"));
    StopReport report = node.stop(remainingGraceMillis()).block();
    stopWatchingSettings();
    node.close();
    closeServers();
    log.write(report.addTo(LogEvent.of("process.stopped").with("role", "entry")));
  }

  /** Closes readiness and metrics; a socket that is open at the halt stays open for 0.3 s. */
  private void closeServers() {
    metrics.stopBinding();
    loops.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block();
  }

  /** Leaves the processor to the first requests of a process that starts on a small machine. */
  private void startMetricsLater() {
    scheduler.schedule(metrics::start, METRICS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reload() {
    log.write(LogEvent.of("settings.signal"));
    settingsWatcher.ifPresent(SettingsWatcher::reload);
  }

  private void watchSettings(Consumer<List<InstanceId>> onSeedsChanged) {
    SettingsWatcher watcher =
        new SettingsWatcher(settingsFile, settings.seeds(), log, onSeedsChanged);
    watcher.start(scheduler);
    settingsWatcher = Optional.of(watcher);
  }

  /** Returns what is left of the grace period; a stop may be requested while the process starts. */
  private long remainingGraceMillis() {
    return Math.max(0, settings.graceMillis() - SIGNALS.millisSinceStopRequest());
  }

  private void stopWatchingSettings() {
    settingsWatcher = Optional.empty();
    scheduler.shutdownNow();
  }
}
