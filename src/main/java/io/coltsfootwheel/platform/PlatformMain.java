package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.node.ControlNode;
import io.coltsfootwheel.node.EntryNode;
import io.coltsfootwheel.relay.Relay;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;
import sun.misc.Signal;

/**
 * Starts one process of the system on a machine of the platform: {@code entry} or {@code control}.
 */
public final class PlatformMain {
  /** Port on which every process serves its metrics. */
  static final int METRICS_PORT = 9464;

  private static final String METRICS_PATH = "/metrics";
  private static final String ARCHIVE_ROLE = "archive";
  private static final int EXIT_FAILED = 1;

  /** The platform notices an instance that is not ready within two seconds. */
  private static final long LEAVE_ROTATION_MILLIS = 2_500;

  /** Rest of the grace period that is kept for the end of the process itself. */
  private static final long EXIT_MILLIS = 700;

  private static final Logger LOGGER = LogManager.getLogger(PlatformMain.class);

  private final Path file;
  private final PlatformSettings settings;
  private final EventLog log;
  private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
  private volatile Optional<SettingsWatch> watch = Optional.empty();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final LoopResources loops = LoopResources.create("http", 1, true);
  private final CountDownLatch stop = new CountDownLatch(1);

  private PlatformMain(Path file, PlatformSettings settings) {
    this.file = file;
    this.settings = settings;
    this.log = new EventLog(System.out::println, Map.of("instance", settings.name()));
  }

  /**
   * Starts a process.
   *
   * @param arguments the part that this process plays
   */
  public static void main(String[] arguments) {
    if (arguments[0].equals(ARCHIVE_ROLE)) {
      archive(Path.of(arguments[1]));
    } else {
      serve(arguments[0]);
    }
  }

  /** Plays both parts for a moment and ends normally, so that the class-data archive is written. */
  private static void archive(Path folder) {
    ArchiveRun run = new ArchiveRun(folder);
    Path[] files = run.settings();
    start("control", files[0]);
    start("entry", files[1]);
    run.play();
    System.exit(0);
  }

  private static void start(String role, Path file) {
    Thread thread =
        new Thread(
            () -> {
              try {
                new PlatformMain(file, PlatformSettings.read(file)).run(role);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            role);
    thread.setDaemon(true);
    thread.start();
  }

  private static void serve(String role) {
    Path file = Path.of(System.getenv(PlatformNames.SETTINGS_VARIABLE));
    PlatformMain process = new PlatformMain(file, PlatformSettings.read(file));
    int status = 0;
    try {
      process.run(role);
    } catch (ColtsfootwheelException e) {
      LOGGER.error("the process ends: {}", e.getMessage(), e);
      status = EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      status = EXIT_FAILED;
    }
    Runtime.getRuntime().halt(status);
  }

  private void run(String role) throws InterruptedException {
    Signal.handle(new Signal("TERM"), signal -> stop.countDown());
    Signal.handle(new Signal("HUP"), signal -> scheduler.execute(this::reload));
    log.write(LogEvent.of("process.started").with("role", role).with("ip", settings.ip()));
    switch (role) {
      case "control" -> runControl(meters);
      case "entry" -> runEntry(meters);
      default -> throw JsonFields.invalid("role " + role + " is not control or entry");
    }
    log.write(LogEvent.of("process.stopped").with("role", role));
    log.close();
  }

  private void runControl(MeterRegistry registry) throws InterruptedException {
    ControlNode node = new ControlNode(settings.control(), log, registry, stop::countDown);
    node.start();
    new ControlEndpoint(settings.controlAddress(), node, log, loops).start();
    watchSettings(node::setSeeds);
    serveMetrics();
    stop.await();
    node.close();
  }

  private void runEntry(MeterRegistry registry) throws InterruptedException {
    Relay relay = new Relay(settings.relay(), log, registry);
    EntryNode node = new EntryNode(settings.entry(), relay, log);
    node.start();
    serveReadiness(relay);
    watchSettings(node::addSeeds);
    serveMetrics();
    stop.await();
    log.write(LogEvent.of("process.stopping"));
    relay.beginStop();
    TimeUnit.MILLISECONDS.sleep(LEAVE_ROTATION_MILLIS);
    node.drained(settings.graceMillis() - LEAVE_ROTATION_MILLIS - EXIT_MILLIS).block();
    node.close();
  }

  private void reload() {
    log.write(LogEvent.of("settings.signal"));
    watch.ifPresent(SettingsWatch::reload);
  }

  private void watchSettings(Consumer<List<InstanceId>> onSeeds) {
    SettingsWatch started = new SettingsWatch(file, settings.seeds(), log, onSeeds);
    started.start(scheduler);
    watch = Optional.of(started);
  }

  private void serveReadiness(Relay relay) {
    Address address = settings.readinessAddress();
    HttpServer.create()
        .runOn(loops, false)
        .host(address.host())
        .port(address.port())
        .route(
            routes ->
                routes.get(
                    PlatformNames.READINESS_PATH,
                    (request, response) -> response.status(relay.isReady() ? 200 : 503).send()))
        .bindNow();
  }

  private void serveMetrics() {
    HttpServer.create()
        .runOn(loops, false)
        .host(settings.ip())
        .port(METRICS_PORT)
        .route(
            routes ->
                routes.get(
                    METRICS_PATH,
                    (request, response) ->
                        response
                            .header(HttpHeaderNames.CONTENT_TYPE, "text/plain")
                            .sendString(Mono.fromSupplier(meters::scrape))))
        .bindNow();
  }
}
