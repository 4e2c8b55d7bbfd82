package io.coltsfootwheel.deployment;

import io.coltsfootwheel.bench.HttpResponseReader;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Clients that send requests to entries, and probes of changed routes at each entry. */
final class Prober implements AutoCloseable {
  private static final int CLIENT_COUNT = 20;
  private static final int PROBE_THREADS = 20;
  private static final int MIN_PAUSE_MILLIS = 30;
  private static final int MAX_PAUSE_MILLIS = 150;
  private static final int RECENT_COUNT = 12;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int READ_TIMEOUT_MILLIS = 1_500;
  private static final int DEADLINE_MILLIS = 1_000;
  private static final int KEY_COUNT = 65_536;
  private static final long PROBE_MARGIN_MILLIS = 5;

  private final List<Machine> entries;
  private final Recorder recorder;
  private final RunClock clock;
  private final List<String> permanentRoutes;
  private final List<String> recentRoutes = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService probes =
      Executors.newScheduledThreadPool(PROBE_THREADS + CLIENT_COUNT);

  Prober(List<Machine> entries, Recorder recorder, RunClock clock, List<String> permanentRoutes) {
    this.entries = entries;
    this.recorder = recorder;
    this.clock = clock;
    this.permanentRoutes = permanentRoutes;
  }

  /** Starts the clients. */
  void start(Random random) {
    for (int client = 0; client < CLIENT_COUNT; client++) {
      Random clientRandom = new Random(random.nextLong());
      probes.execute(() -> runClient(clientRandom));
    }
  }

  private void runClient(Random random) {
    try {
      while (!probes.isShutdown()) {
        TimeUnit.MILLISECONDS.sleep(
            MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
        List<String> recent = List.copyOf(recentRoutes);
        List<String> routes = recent.isEmpty() || random.nextBoolean() ? permanentRoutes : recent;
        probe(
            entries.get(random.nextInt(entries.size())),
            routes.get(random.nextInt(routes.size())),
            random);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Probes changed routes at each entry as soon as the apply time is over. */
  void probeAfterConfirmation(Collection<String> routes) {
    recentRoutes.addAll(routes);
    while (recentRoutes.size() > RECENT_COUNT) {
      recentRoutes.remove(0);
    }
    for (Machine entry : entries) {
      for (String route : routes) {
        probes.schedule(
            () -> probe(entry, route, new Random(route.hashCode())),
            Bounds.CONFIG_APPLY_MILLIS + PROBE_MARGIN_MILLIS,
            TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Sends one request on a new connection and records its outcome. */
  void probe(Machine entry, String route, Random random) {
    int boot = entry.boot();
    long sentMillis = clock.nowMillis();
    Optional<HttpResponseReader.Response> response = request(entry, route, random);
    long answeredMillis = clock.nowMillis();
    int status = response.map(HttpResponseReader.Response::status).orElse(0);
    Optional<String> service =
        response
            .filter(r -> r.headers().containsKey("x-coltsfootwheel-response-signature"))
            .map(HttpResponseReader.Response::body);
    recorder.add(
        new Probe(
            entry.name(),
            boot == entry.boot() ? boot : 0,
            route,
            status,
            service,
            sentMillis,
            answeredMillis));
  }

  private static Optional<HttpResponseReader.Response> request(
      Machine entry, String route, Random random) {
    String request =
        """
        GET /%s/p HTTP/1.1\r
        Host: %s\r
        X-Coltsfootwheel-Request-Id: %016x\r
        X-Coltsfootwheel-Request-Deadline-Ms: %d\r
        X-Coltsfootwheel-Shard-Key: %d\r
        Connection: close\r
        \r
        """
            .formatted(
                route,
                Configurations.HOST,
                ThreadLocalRandom.current().nextLong(),
                DEADLINE_MILLIS,
                random.nextInt(KEY_COUNT));
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.connect(new InetSocketAddress(entry.ip(), Site.FRONT_PORT), CONNECT_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return Optional.of(
          new HttpResponseReader(new BufferedInputStream(socket.getInputStream())).read());
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Ends the clients and the scheduled probes after their current requests. */
  void stop() throws InterruptedException {
    probes.shutdownNow();
    probes.awaitTermination(READ_TIMEOUT_MILLIS * 2L, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    probes.shutdownNow();
  }
}
