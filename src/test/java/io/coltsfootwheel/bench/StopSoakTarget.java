package io.coltsfootwheel.bench;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Stand-in target that records the requests that it receives and answers each after a delay. */
final class StopSoakTarget implements AutoCloseable {
  static final String ID_HEADER = "X-Coltsfootwheel-Request-Id";
  private static final String SIGNATURE_HEADER = "X-Coltsfootwheel-Response-Signature";
  private static final int MAX_DELAY_MILLIS = 600;

  private final String id;
  private final Set<String> receivedIds;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private int sequence;

  /**
   * Starts a target.
   *
   * @param id ID in its reports
   * @param host loopback address
   * @param receivedIds receives the ID of each request
   */
  StopSoakTarget(String id, String host, Set<String> receivedIds) {
    this.id = id;
    this.receivedIds = receivedIds;
    try {
      server = HttpServer.create(new InetSocketAddress(host, 0), 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.setExecutor(executor);
    server.createContext("/", this::answer);
    server.start();
  }

  String id() {
    return id;
  }

  String nextReport(String service) {
    sequence++;
    return """
        {"born":1,"address":"%s:%d","info":{"service":"%s","version":"v1","zone":"z",
        "capacity":40},"status":{"phase":"ready","sequence":%d,"warmupLeftMs":0},
        "holds":[],"released":[]}
        """
        .formatted(
            server.getAddress().getHostString(), server.getAddress().getPort(), service, sequence);
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      String requestId = exchange.getRequestHeaders().getFirst(ID_HEADER);
      receivedIds.add(requestId);
      TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_DELAY_MILLIS));
      byte[] body = requestId.getBytes(StandardCharsets.US_ASCII);
      exchange.getResponseHeaders().set(ID_HEADER, requestId);
      exchange.getResponseHeaders().set(SIGNATURE_HEADER, "s");
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
