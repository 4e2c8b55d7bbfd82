package io.coltsfootwheel.deployment;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-in target without keys that answers at once and reports to one control process. */
final class CrowdTarget implements AutoCloseable {
  private static final int ANY_PORT = 0;
  private static final String REQUEST_ID = "X-Coltsfootwheel-Request-Id";
  private static final int THREADS = 4;
  private static final int CAPACITY = 8;
  private static final long REPORT_MILLIS = 300;
  private static final byte[] BODY = "x".getBytes(StandardCharsets.US_ASCII);

  private final String ip;
  private final String controlIp;
  private final HttpServer server;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
  private long sequence;

  CrowdTarget(String ip, String controlIp) throws IOException {
    this.ip = ip;
    this.controlIp = controlIp;
    this.server = HttpServer.create(new InetSocketAddress(ip, ANY_PORT), 0);
    server.setExecutor(executor);
    server.createContext("/", this::answer);
    server.start();
    executor.scheduleWithFixedDelay(this::report, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
      if (requestId != null) {
        exchange.getResponseHeaders().set(REQUEST_ID, requestId);
      }
      exchange.getResponseHeaders().set("X-Coltsfootwheel-Instance-Id", "i");
      exchange.getResponseHeaders().set("X-Coltsfootwheel-Response-Signature", "s");
      exchange.sendResponseHeaders(200, BODY.length);
      exchange.getResponseBody().write(BODY);
    }
  }

  private void report() {
    sequence++;
    String body =
        """
        {"address":"%s:%d","born":1,"info":{"service":"s","version":"v1","zone":"z","capacity":%d},\
        "status":{"phase":"ready","sequence":%d,"warmupLeftMs":0}}"""
            .formatted(ip, server.getAddress().getPort(), CAPACITY, sequence);
    OrdinaryCaller.status(
        new InetSocketAddress(controlIp, Site.CONTROL_PORT),
        OrdinaryCaller.post("/api/rpc?call=instances.heartbeat&of=i", "", body));
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
