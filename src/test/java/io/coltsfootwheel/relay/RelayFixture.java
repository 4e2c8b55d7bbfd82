package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WeightedService;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Running relay on the loopback interface, with a client. */
final class RelayFixture implements AutoCloseable {
  static final ServiceName KEYED = ServiceName.of("keyed");
  static final ServiceName UNKEYED = ServiceName.of("any");
  static final ProtocolHeaderNames HEADER_NAMES =
      new ProtocolHeaderNames(
          "id", "deadline", "key", "expected", "signature", "rejected", "leaving", "load");

  static final String HOST = "127.0.0.1";
  static final long DRAIN_MILLIS = 2_000;

  private static final int MAX_CONNECTIONS = 20;
  private static final long TIMEOUT_MILLIS = 20_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ConcurrentLinkedQueue<String> logLines = new ConcurrentLinkedQueue<>();
  private final EventLog log = new EventLog(logLines::add, Map.of());
  private final Relay relay;
  private final int port;

  /**
   * Starts a relay.
   *
   * @param drainMillis time for which a leaving target may receive requests
   * @param items routes and services
   */
  RelayFixture(long drainMillis, List<ConfigurationItem> items) {
    this(drainMillis);
    relay.configure(new Configuration(1, items, List.of()));
  }

  /** Returns a running relay without a configuration. */
  static RelayFixture unconfigured() {
    return new RelayFixture(DRAIN_MILLIS);
  }

  private RelayFixture(long drainMillis) {
    port = freePort();
    relay =
        new Relay(
            new RelaySettings(
                new Address(HOST, port),
                AvailabilityZone.of("z"),
                HEADER_NAMES,
                drainMillis,
                1,
                100,
                10_000,
                1),
            log,
            new SimpleMeterRegistry());
    relay.start();
  }

  /** Returns a keyed and an unkeyed service, each with an idempotent route of the same name. */
  static List<ConfigurationItem> twoServices() {
    return List.of(
        ConfigurationItem.of(new ServicePolicy(KEYED, true, MAX_CONNECTIONS), "{}"),
        ConfigurationItem.of(new ServicePolicy(UNKEYED, false, MAX_CONNECTIONS), "{}"),
        route("keyed", KEYED, RouteKind.SAFE, TIMEOUT_MILLIS),
        route("any", UNKEYED, RouteKind.SAFE, TIMEOUT_MILLIS));
  }

  /** Returns a route whose path is its name. */
  static ConfigurationItem route(
      String name, ServiceName service, RouteKind kind, long timeoutMillis) {
    return route(name, "/" + name + "/", service, kind, timeoutMillis);
  }

  /** Returns a route to the loopback interface. */
  static ConfigurationItem route(
      String name, String pathPrefix, ServiceName service, RouteKind kind, long timeoutMillis) {
    return ConfigurationItem.of(
        new Route(
            name,
            HOST,
            pathPrefix,
            kind,
            timeoutMillis,
            timeoutMillis,
            1,
            2,
            List.of(new WeightedService(service, 1))),
        "{}");
  }

  private static int freePort() {
    try (ServerSocket probe = new ServerSocket(0)) {
      return probe.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Relay relay() {
    return relay;
  }

  /**
   * Publishes targets and owners, and waits until they are in force: the relay applies them on its
   * event loop, which may read a request first that is sent right after.
   */
  void updateOwnership(OwnershipView view) {
    relay.updateOwnership(view);
    CompletableFuture.runAsync(() -> {}, relay.executor()).join();
  }

  EventLog log() {
    return log;
  }

  int port() {
    return port;
  }

  List<String> logLines() {
    return List.copyOf(logLines);
  }

  /** Sends a request for key 17 of a service. */
  CompletableFuture<HttpResponse<String>> send(ServiceName service, String id) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + HOST + ":" + port + "/" + service.value() + "/" + id))
            .header("id", id)
            .header("key", "17")
            .header("deadline", "15000")
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> get(ServiceName service, String id) {
    return send(service, id).join();
  }

  @Override
  public void close() {
    relay.drain(1_000).block();
    relay.close();
    try {
      log.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
