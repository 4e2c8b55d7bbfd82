package io.coltsfootwheel.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Stand-in target that answers with the name of its service, and reports to control. */
final class Target implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HEADER_PREFIX = "X-Coltsfootwheel-";
  private static final int KEY_COUNT = 65_536;
  private static final int PORT = 8_080;
  private static final int CAPACITY = 8;
  private static final long CALL_TIMEOUT_MILLIS = 1_000;
  private static final long REPORT_MILLIS = 870;
  private static final long RETRY_MILLIS = 200;
  private static final long RELEASE_MILLIS = 50;
  private static final long WORK_MILLIS = 20;

  /** Keys from the first to the last, held under a fence. */
  private record Hold(int first, int last, long fence) {
    boolean contains(int key) {
      return first <= key && key <= last;
    }
  }

  private final String id;
  private final String service;
  private final String ip;
  private final String zone;
  private final ControlCaller control;
  private final Random random;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final long bornMillis = System.currentTimeMillis();
  private Optional<URI> heartbeatUri = Optional.empty();
  private long sequence;
  private volatile List<Hold> holds = List.of();
  private volatile long heldUntilNanos = System.nanoTime();
  private ArrayNode released = JSON.createArrayNode();

  Target(String id, String service, String ip, String zone, ControlCaller control, Random random)
      throws IOException {
    this.id = id;
    this.service = service;
    this.ip = ip;
    this.zone = zone;
    this.control = control;
    this.random = random;
    this.server = HttpServer.create(new InetSocketAddress(ip, PORT), 0);
    server.setExecutor(executor);
    server.createContext("/", this::answer);
    server.start();
    executor.execute(this::report);
  }

  private boolean isKeyed() {
    return service.equals(Configurations.KEYED_SERVICE);
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      String requestId = exchange.getRequestHeaders().getFirst(HEADER_PREFIX + "Request-Id");
      if (requestId != null) {
        exchange.getResponseHeaders().set(HEADER_PREFIX + "Request-Id", requestId);
      }
      if (exchange.getRequestURI().getPath().equals("/healthz")) {
        exchange.getResponseHeaders().set(HEADER_PREFIX + "Instance-Id", id);
        exchange.sendResponseHeaders(200, -1);
      } else if (!isExpected(exchange) || !holdsKey(exchange)) {
        exchange.getResponseHeaders().set(HEADER_PREFIX + "Not-Executed", "1");
        exchange.sendResponseHeaders(421, -1);
      } else {
        run(exchange);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isExpected(HttpExchange exchange) {
    String expected = exchange.getRequestHeaders().getFirst(HEADER_PREFIX + "Expect-Instance");
    return expected == null || expected.equals(id);
  }

  private boolean holdsKey(HttpExchange exchange) {
    String key = exchange.getRequestHeaders().getFirst(HEADER_PREFIX + "Shard-Key");
    return !isKeyed()
        || key != null
            && System.nanoTime() - heldUntilNanos < 0
            && holds.stream().anyMatch(hold -> hold.contains(Integer.parseInt(key)));
  }

  private void run(HttpExchange exchange) throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
    byte[] body = service.getBytes(StandardCharsets.US_ASCII);
    exchange.getResponseHeaders().set(HEADER_PREFIX + "Response-Signature", "s." + service);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
  }

  private void report() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        TimeUnit.MILLISECONDS.sleep(reportOnce());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends one report and returns the time until the next. */
  private long reportOnce() throws InterruptedException {
    if (!holds.isEmpty() && System.nanoTime() - heldUntilNanos > 0) {
      holds = List.of();
    }
    long sentNanos = System.nanoTime();
    String query = "?call=instances.heartbeat&of=" + id;
    String body = nextReport();
    ControlCaller.Answer answer = new ControlCaller.Answer(0, "");
    if (heartbeatUri.isPresent()) {
      answer = control.call(heartbeatUri.get(), "", body, CALL_TIMEOUT_MILLIS);
    }
    if (!answer.isSuccess()) {
      heartbeatUri = Optional.empty();
      answer = control.call(control.pick(random), query, "", body, CALL_TIMEOUT_MILLIS);
    }
    if (!answer.isSuccess()) {
      return RETRY_MILLIS;
    }
    return accept(answer.body(), sentNanos) ? RELEASE_MILLIS : REPORT_MILLIS;
  }

  private String nextReport() {
    sequence++;
    ObjectNode report =
        JSON.createObjectNode().put("address", ip + ":" + PORT).put("born", bornMillis);
    report
        .putObject("info")
        .put("service", service)
        .put("version", "v1")
        .put("zone", zone)
        .put("capacity", CAPACITY);
    report
        .putObject("status")
        .put("phase", "ready")
        .put("sequence", sequence)
        .put("warmupLeftMs", 0);
    if (isKeyed()) {
      ArrayNode rows = report.putArray("holds");
      holds.forEach(h -> rows.addArray().add(h.first()).add(h.last()).add(h.fence()));
      report.set("released", released);
    }
    return report.toString();
  }

  /** Takes over what an answer grants; returns whether keys were released by it. */
  private boolean accept(String body, long sentNanos) {
    JsonNode answer;
    try {
      answer = JSON.readTree(body.isEmpty() ? "{}" : body);
    } catch (IOException e) {
      return false;
    }
    if (answer.hasNonNull("heartbeatUrl")) {
      heartbeatUri = Optional.of(heartbeatUri(answer.path("heartbeatUrl").asText()));
    }
    released = JSON.createArrayNode();
    if (!isKeyed() || !answer.has("holds")) {
      return false;
    }
    BitSet dropped = keys(holds);
    List<Hold> granted = new ArrayList<>();
    answer
        .path("holds")
        .forEach(
            row ->
                granted.add(new Hold(row.get(0).asInt(), row.get(1).asInt(), row.get(2).asLong())));
    dropped.andNot(keys(granted));
    holds = List.copyOf(granted);
    heldUntilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(answer.path("holdMs").asLong());
    addReleased(dropped);
    return !dropped.isEmpty();
  }

  private URI heartbeatUri(String text) {
    String url = text.contains("://") ? text : "http://" + text;
    return URI.create(
        URI.create(url).getPath().isEmpty()
            ? url + "/api/rpc?call=instances.heartbeat&of=" + id
            : url);
  }

  private void addReleased(BitSet keys) {
    for (int first = keys.nextSetBit(0); first >= 0; ) {
      int end = keys.nextClearBit(first);
      String handover = "%016x".formatted(random.nextLong());
      released.addArray().add(first).add(end - 1).add(handover);
      first = keys.nextSetBit(end);
    }
  }

  private static BitSet keys(List<Hold> holds) {
    BitSet keys = new BitSet(KEY_COUNT);
    holds.forEach(hold -> keys.set(hold.first(), hold.last() + 1));
    return keys;
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
