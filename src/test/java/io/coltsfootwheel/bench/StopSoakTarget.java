package io.coltsfootwheel.bench;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in target that records the requests that it receives and answers each after a delay.
 *
 * <p>Now and then it refuses a request and wants none for a while, or leaves: it says so in all its
 * answers, also to control or not, and comes back as a new process at the same address.
 */
final class StopSoakTarget implements AutoCloseable {
  static final String ID_HEADER = "X-Coltsfootwheel-Request-Id";
  private static final String SIGNATURE_HEADER = "X-Coltsfootwheel-Response-Signature";
  private static final String NOT_EXECUTED_HEADER = "X-Coltsfootwheel-Not-Executed";
  private static final String LEAVING_HEADER = "Server-Leaving";
  private static final int MAX_DELAY_MILLIS = 600;
  private static final long PAUSE_MILLIS = 1_500;
  private static final int REQUESTS_PER_PAUSE = 300;

  /** Longer than the drain time, so that a request after it is noticed. */
  private static final long LEAVING_MILLIS = 4_500;

  private final String id;
  private final Set<String> receivedIds;
  private final StopSoakNotices notices;
  private final Random random;
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private int sequence;
  private int boot = 1;
  private Optional<Long> pausedSinceNanos = Optional.empty();
  private Optional<Long> leavingSinceNanos = Optional.empty();
  private boolean reportsLeaving;

  /**
   * Starts a target.
   *
   * @param id ID in its reports
   * @param host loopback address
   * @param receivedIds receives the ID of each executed request
   * @param notices receives what the target says of itself, and the ID of each request
   * @param random decides when it pauses
   */
  StopSoakTarget(
      String id, String host, Set<String> receivedIds, StopSoakNotices notices, Random random) {
    this.id = id;
    this.receivedIds = receivedIds;
    this.notices = notices;
    this.random = random;
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

  /**
   * Begins to leave, and comes back as a new process later.
   *
   * @param reports whether it also reports to control that it leaves
   */
  synchronized void leave(boolean reports) {
    leavingSinceNanos = Optional.of(System.nanoTime());
    reportsLeaving = reports;
  }

  synchronized boolean isLeaving() {
    return leavingSinceNanos.isPresent();
  }

  synchronized String nextReport(String service) {
    if (leavingSinceNanos.filter(since -> hasPassed(since, LEAVING_MILLIS)).isPresent()) {
      leavingSinceNanos = Optional.empty();
      pausedSinceNanos = Optional.empty();
      boot++;
      sequence = 0;
    }
    sequence++;
    return """
        {"born":%d,"address":"%s:%d","info":{"service":"%s","version":"v1","zone":"z",
        "capacity":40},"status":{"phase":"%s","sequence":%d,"warmupLeftMs":0},
        "holds":[],"released":[]}
        """
        .formatted(
            boot,
            server.getAddress().getHostString(),
            server.getAddress().getPort(),
            service,
            isLeaving() && reportsLeaving ? "draining" : "ready",
            sequence);
  }

  private static boolean hasPassed(long sinceNanos, long millis) {
    return System.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private synchronized StopSoakNotices.Boot currentBoot() {
    return new StopSoakNotices.Boot(id, boot);
  }

  /** Returns the rest of the pause in which it refuses requests; begins one now and then. */
  private synchronized long remainingPauseMillis() {
    boolean isPaused = pausedSinceNanos.filter(s -> !hasPassed(s, PAUSE_MILLIS)).isPresent();
    if (!isPaused) {
      boolean begins = random.nextInt(REQUESTS_PER_PAUSE) == 0;
      pausedSinceNanos = begins ? Optional.of(System.nanoTime()) : Optional.empty();
    }
    return pausedSinceNanos
        .map(s -> PAUSE_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - s))
        .orElse(0L);
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      String requestId = exchange.getRequestHeaders().getFirst(ID_HEADER);
      StopSoakNotices.Boot answering = currentBoot();
      notices.arrived(answering, requestId);
      exchange.getResponseHeaders().set(ID_HEADER, requestId);
      long pauseMillis = remainingPauseMillis();
      if (pauseMillis > 0) {
        refuse(exchange, answering, requestId, pauseMillis);
        return;
      }
      receivedIds.add(requestId);
      TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(MAX_DELAY_MILLIS));
      byte[] body = requestId.getBytes(StandardCharsets.US_ASCII);
      exchange.getResponseHeaders().set(SIGNATURE_HEADER, "s");
      if (isLeaving() && answering.equals(currentBoot())) {
        notices.answeredLeaving(answering, requestId);
        exchange.getResponseHeaders().set(LEAVING_HEADER, "1");
      }
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void refuse(
      HttpExchange exchange, StopSoakNotices.Boot answering, String requestId, long pauseMillis)
      throws IOException {
    notices.refused(answering, requestId, pauseMillis);
    exchange.getResponseHeaders().set(NOT_EXECUTED_HEADER, "1");
    String seconds = String.format(Locale.ROOT, "%.3f", pauseMillis / 1e3);
    exchange.getResponseHeaders().set("Retry-After", seconds);
    exchange.sendResponseHeaders(503, -1);
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
