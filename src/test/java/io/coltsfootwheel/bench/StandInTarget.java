package io.coltsfootwheel.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Target that announces itself, spends a fixed service time on each request and records each
 * execution.
 *
 * <p>Usage: {@code java ... io.coltsfootwheel.bench.StandInTarget --id t1 --service ledger
 * --announce 127.0.0.1:7401,127.0.0.1:7501 --executions t1.jsonl}. {@code POST
 * /control/{freeze,thaw,shed,drain,lag,lie,cold}} injects a fault: {@code freeze} suspends all
 * responses, {@code shed} rejects each request, {@code drain} asks the instances for a drain,
 * {@code lag} delays health responses, {@code lie} reports an idle, responsive target in any state,
 * and {@code cold} slows the next requests down. {@code thaw} ends all faults.
 */
public final class StandInTarget {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration HEALTH_CHECK_DELAY = Duration.ofMillis(500);
  private static final int COLD_SERVICE_TIME_FACTOR = 10;
  private static final int COLD_REQUESTS = 50;
  private static final int OK = 200;
  private static final int CLIENT_CLOSED_REQUEST = 499;

  private final StandInTargetOptions options;
  private final ExecutionLog executions;
  private final FenceChecker fenceChecker = new FenceChecker(System::nanoTime);
  private final AtomicInteger busySlots = new AtomicInteger();
  private final AtomicInteger remainingColdRequests = new AtomicInteger();
  private final Set<String> executedIdentities = ConcurrentHashMap.newKeySet();
  private final Map<String, Sinks.Empty<Void>> cancellations = new ConcurrentHashMap<>();
  private final HttpClient http = HttpClient.create().disableRetry(true);
  private final String incarnation = Long.toString(System.nanoTime(), Character.MAX_RADIX);
  private volatile Sinks.Empty<Void> thawSignal = completedSignal();
  private boolean frozen;
  private volatile boolean rejectingAll;
  private volatile boolean draining;
  private volatile boolean delayingHealthChecks;
  private volatile boolean alwaysReportingHealthy;

  StandInTarget(StandInTargetOptions options) {
    this.options = options;
    this.executions = new ExecutionLog(options.executions());
  }

  /** Starts the server and the announcements; returns the bound server. */
  DisposableServer start() {
    DisposableServer server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(options.port())
            .route(
                routes ->
                    routes
                        .post("/control/{mode}", this::injectFault)
                        .post("/coltsfootwheel/grant", this::grant)
                        .post("/coltsfootwheel/cancel", this::cancel)
                        .get("/health", this::health)
                        .route(request -> true, this::execute))
            .bindNow();
    Flux.interval(Duration.ZERO, ANNOUNCE_INTERVAL)
        .onBackpressureDrop()
        .concatMap(attempt -> awaitThaw().then(announce(attempt, server.port())))
        .subscribe();
    return server;
  }

  /**
   * Runs one target until the process ends.
   *
   * @param arguments see {@link StandInTargetOptions}
   */
  public static void main(String[] arguments) {
    StandInTargetOptions options = StandInTargetOptions.parse(arguments);
    DisposableServer server = new StandInTarget(options).start();
    System.out.println("target " + options.id() + " listens on port " + server.port());
    server.onDispose().block();
  }

  private Mono<Void> announce(long attempt, int port) {
    Address instanceAddress = options.announce().get((int) (attempt % options.announce().size()));
    TargetSpec spec =
        new TargetSpec(
            TargetId.of(options.id()),
            ServiceName.of(options.service()),
            new Address("127.0.0.1", port),
            AvailabilityZone.of(options.zone()),
            options.slots(),
            options.connections(),
            options.checksFences(),
            options.keepsIdentities(),
            incarnation);
    Mono<Void> announcement =
        http.headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json"))
            .post()
            .uri("http://" + instanceAddress + "/v1/targets")
            .send(ByteBufFlux.fromString(Mono.just(toJson(spec))))
            .response()
            .then();
    Mono<Void> drain = draining ? postDrain(instanceAddress) : Mono.empty();
    return announcement.then(drain).timeout(ANNOUNCE_INTERVAL).onErrorResume(e -> Mono.empty());
  }

  private Mono<Void> postDrain(Address instanceAddress) {
    return http.post()
        .uri("http://" + instanceAddress + "/v1/targets/" + options.id() + "/drain")
        .response()
        .then();
  }

  private Publisher<Void> injectFault(HttpServerRequest request, HttpServerResponse response) {
    switch (String.valueOf(request.param("mode"))) {
      case "freeze":
        freeze();
        break;
      case "thaw":
        clearFaults();
        break;
      case "shed":
        rejectingAll = true;
        break;
      case "drain":
        draining = true;
        break;
      case "lag":
        delayingHealthChecks = true;
        break;
      case "lie":
        alwaysReportingHealthy = true;
        break;
      case "cold":
        remainingColdRequests.set(COLD_REQUESTS);
        break;
      default:
        return response.status(404).send();
    }
    return response.status(204).send();
  }

  private synchronized void freeze() {
    if (!frozen) {
      frozen = true;
      thawSignal = Sinks.empty();
    }
  }

  private synchronized void clearFaults() {
    frozen = false;
    rejectingAll = false;
    draining = false;
    delayingHealthChecks = false;
    alwaysReportingHealthy = false;
    remainingColdRequests.set(0);
    thawSignal.tryEmitEmpty();
  }

  private Publisher<Void> grant(HttpServerRequest request, HttpServerResponse response) {
    return awaitThaw()
        .then(body(request))
        .flatMap(
            json -> {
              long fence = json.path("fence").asLong();
              if (!fenceChecker.grant(fence, json.path("validUntilMillis").asLong())) {
                return response.status(409).send().then();
              }
              return sendJson(response, fenceChecker.response());
            });
  }

  private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    return awaitThaw()
        .then(body(request))
        .flatMap(
            json -> {
              Sinks.Empty<Void> cancellation = cancellations.get(json.path("requestId").asText());
              if (cancellation != null) {
                cancellation.tryEmitEmpty();
              }
              return response.status(204).send().then();
            });
  }

  private Publisher<Void> health(HttpServerRequest request, HttpServerResponse response) {
    Mono<Void> delay = delayingHealthChecks ? Mono.delay(HEALTH_CHECK_DELAY).then() : Mono.empty();
    // The fault "lie" answers health checks even while the target is frozen.
    Mono<Void> available = alwaysReportingHealthy ? Mono.empty() : awaitThaw();
    int reportedLoad = alwaysReportingHealthy ? 0 : busySlots.get();
    return available.then(delay).then(sendJson(response, Map.of("running", reportedLoad)));
  }

  private Publisher<Void> execute(HttpServerRequest request, HttpServerResponse response) {
    return awaitThaw()
        .then(request.receive().aggregate().asString().defaultIfEmpty(""))
        .flatMap(body -> admit(request, response));
  }

  private Mono<Void> admit(HttpServerRequest request, HttpServerResponse response) {
    response.header("Coltsfootwheel-Request-Id", header(request, "Coltsfootwheel-Request-Id"));
    if (rejectingAll) {
      return refuse(response.header("Retry-After", "1"), 503);
    }
    if (busySlots.incrementAndGet() > options.slots()) {
      busySlots.decrementAndGet();
      return refuse(response, 503);
    }
    long fence = numericHeader(request, "Coltsfootwheel-Fence", 0);
    if (!fenceChecker.begin(fence, options.checksFences())) {
      busySlots.decrementAndGet();
      return refuse(response, 412);
    }
    return respond(response, startExecution(request, fence));
  }

  /** Starts an execution, which continues when the connection of its request breaks. */
  private Mono<Integer> startExecution(HttpServerRequest request, long fence) {
    String requestId = header(request, "Coltsfootwheel-Request-Id");
    String identity = header(request, "Idempotency-Key");
    boolean alreadyExecuted =
        options.keepsIdentities() && !identity.isEmpty() && !executedIdentities.add(identity);
    if (!alreadyExecuted) {
      record(request, requestId, identity, fence);
    }
    Sinks.Empty<Void> cancellation = Sinks.empty();
    cancellations.put(requestId, cancellation);
    Sinks.One<Integer> completion = Sinks.one();
    Mono.firstWithSignal(
            Mono.delay(alreadyExecuted ? Duration.ZERO : serviceTime()).thenReturn(OK),
            cancellation.asMono().thenReturn(CLIENT_CLOSED_REQUEST))
        .subscribe(
            status -> {
              cancellations.remove(requestId);
              fenceChecker.end(fence);
              busySlots.decrementAndGet();
              completion.tryEmitValue(status);
            });
    return completion.asMono();
  }

  private void record(HttpServerRequest request, String requestId, String identity, long fence) {
    executions.append(
        new ExecutionLog.Entry(
            System.currentTimeMillis() * 1_000,
            options.id(),
            requestId,
            header(request, "Load-Request"),
            identity,
            fence,
            (int) numericHeader(request, "Coltsfootwheel-Hash-Slot", -1)));
  }

  private Duration serviceTime() {
    boolean cold = remainingColdRequests.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    return options.serviceTime().multipliedBy(cold ? COLD_SERVICE_TIME_FACTOR : 1);
  }

  private Mono<Void> respond(HttpServerResponse response, Mono<Integer> status) {
    return status.flatMap(
        code -> awaitThaw().then(sendJson(response.status(code), Map.of("target", options.id()))));
  }

  private static Mono<Void> refuse(HttpServerResponse response, int status) {
    return response.status(status).header("Coltsfootwheel-Outcome", "not-run").send();
  }

  private Mono<Void> awaitThaw() {
    return Mono.defer(() -> thawSignal.asMono());
  }

  private static Sinks.Empty<Void> completedSignal() {
    Sinks.Empty<Void> signal = Sinks.empty();
    signal.tryEmitEmpty();
    return signal;
  }

  private static Mono<JsonNode> body(HttpServerRequest request) {
    return request.receive().aggregate().asString().defaultIfEmpty("{}").map(StandInTarget::parse);
  }

  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode();
    }
  }

  private static Mono<Void> sendJson(HttpServerResponse response, Object value) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(toJson(value)))
        .then();
  }

  private static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static String header(HttpServerRequest request, String name) {
    return request.requestHeaders().get(name, "");
  }

  private static long numericHeader(HttpServerRequest request, String name, long fallback) {
    String text = header(request, name);
    return text.isEmpty() ? fallback : Long.parseLong(text);
  }
}
