package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.KeyRange;
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
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** Tests that a stop of the relay loses no request that it has read or forwarded. */
@Timeout(60)
class RelayStopTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final ServiceName KEYED = ServiceName.of("keyed");
  private static final long TIMEOUT_MILLIS = 20_000;
  private static final int SOCKET_TIMEOUT_MILLIS = 30_000;

  /** Longer than the stops of these tests, and short enough for a request to wait. */
  private static final int OWNER_EXPECTED_MILLIS = 5_000;

  private final ConcurrentLinkedQueue<String> logLines = new ConcurrentLinkedQueue<>();
  private EventLog log;
  private Relay relay;
  private ScriptedTarget target;
  private int port;

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket probe = new ServerSocket(0)) {
      port = probe.getLocalPort();
    }
    log = new EventLog(logLines::add, Map.of());
    relay = new Relay(settings(port), log, new SimpleMeterRegistry());
    relay.start();
    relay.configure(new Configuration(1, items(), List.of()));
  }

  @AfterEach
  void stop() throws InterruptedException {
    relay.drain(1_000).block();
    relay.close();
    target.close();
    log.close();
  }

  private static RelaySettings settings(int port) {
    return new RelaySettings(
        new Address("127.0.0.1", port),
        AvailabilityZone.of("z"),
        new ProtocolHeaderNames(
            "id", "deadline", "key", "expected", "signature", "rejected", "leaving", "load"),
        2_000,
        1,
        100,
        10_000,
        1);
  }

  private static List<ConfigurationItem> items() {
    return List.of(
        ConfigurationItem.of(new ServicePolicy(SERVICE, false, 20), "{}"),
        ConfigurationItem.of(new ServicePolicy(KEYED, true, 20), "{}"),
        ConfigurationItem.of(route("any", SERVICE), "{}"),
        ConfigurationItem.of(route("keyed", KEYED), "{}"));
  }

  private static Route route(String name, ServiceName service) {
    return new Route(
        name,
        "127.0.0.1",
        "/" + name + "/",
        RouteKind.UNSAFE,
        TIMEOUT_MILLIS,
        TIMEOUT_MILLIS,
        1,
        2,
        List.of(new WeightedService(service, 1)));
  }

  private void startTarget(ScriptedTarget.Step... steps) {
    target = new ScriptedTarget("a", SERVICE, steps);
    // No target holds a key of the keyed service, so its requests wait for an owner.
    OwnershipView.Range range =
        new OwnershipView.Range(KEYED, KeyRange.ALL, target.id(), false, OWNER_EXPECTED_MILLIS);
    relay.updateOwnership(new OwnershipView(List.of(target.view()), List.of(range)));
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String request(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nid: r\r\nkey: 1\r\n\r\n";
  }

  /** Reads until the relay closes the connection; a reset ends the text like a normal close. */
  private static String readToEnd(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] chunk = new byte[8 * 1024];
    try {
      int count = socket.getInputStream().read(chunk);
      while (count >= 0) {
        text.append(new String(chunk, 0, count, StandardCharsets.ISO_8859_1));
        count = socket.getInputStream().read(chunk);
      }
    } catch (SocketException e) {
      text.append("[reset]");
    }
    return text.toString();
  }

  private Mono<StopReport> startDrain(long limitMillis) {
    Mono<StopReport> drained = relay.drain(limitMillis).cache();
    drained.subscribe();
    return drained;
  }

  /**
   * Guards against requests of connections that the event loop registers only after the drain has
   * counted the busy ones (inc1): they were forwarded, and the process ended before the answer.
   */
  @Test
  void connectionRegisteredAfterTheDrainBeganForwardsNothing() throws Exception {
    startTarget(ScriptedTarget.Step.SLOW_ANSWER);
    CountDownLatch mayContinue = new CountDownLatch(1);
    relay.beginStop();
    relay.executor().execute(() -> await(mayContinue));
    Mono<StopReport> drained = startDrain(TIMEOUT_MILLIS);
    try (Socket socket = connect()) {
      write(socket, request("/any/1"));
      // Time for a separate acceptor thread to queue the registration behind the drain.
      TimeUnit.MILLISECONDS.sleep(300);
      mayContinue.countDown();
      drained.block();
      readToEnd(socket);
    }
    assertThat(target.requests()).isEmpty();
  }

  /** Guards against a request that the stop cuts because only a part of it was received. */
  @Test
  void requestReceivedInPartIsRefusedWhenItIsComplete() throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER);
    try (Socket socket = connect()) {
      write(socket, "POST /any/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n\r\nha");
      awaitReport(report -> report.openConnections() == 1);
      relay.beginStop();
      final Mono<StopReport> drained = startDrain(TIMEOUT_MILLIS);
      awaitLogLine("stop.listener_closed");
      // Longer than the time in which a new connection may send its first request.
      TimeUnit.MILLISECONDS.sleep(400);
      write(socket, "lf");
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 503").contains("retry-after: 0.05");
      assertThat(drained.block().limitReached()).isFalse();
    }
    assertThat(target.requests()).isEmpty();
  }

  /** Guards against requests that were read but never answered, behind the one in progress. */
  @ParameterizedTest
  @CsvSource({"true, '200 503 503'", "false, '200 200 200'"})
  void everyPipelinedRequestIsAnsweredWhenTheRelayStops(boolean draining, String statuses)
      throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER_WHEN_RELEASED);
    try (Socket socket = connect()) {
      write(socket, request("/any/1") + request("/any/2") + request("/any/3"));
      awaitReport(report -> report.forwardedRequests() == 1);
      relay.beginStop();
      if (draining) {
        startDrain(TIMEOUT_MILLIS);
        awaitLogLine("stop.listener_closed");
      }
      target.release();
      String text = readToEnd(socket);
      assertThat(statusesOf(text)).isEqualTo(statuses);
      assertThat(text.split("connection: close", -1)).hasSize(2);
    }
  }

  /**
   * Guards against pipelined requests that are discarded because the first one is refused before
   * the others are decoded (bin/stop-soak --seed 2).
   */
  @Test
  void pipelinedRequestsBehindARefusedOneAreAnswered() throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER);
    relay.beginStop();
    try (Socket socket = connect()) {
      write(socket, request("/none/1") + request("/none/2") + request("/any/3"));
      assertThat(statusesOf(readToEnd(socket))).matches("(404|503) (404|503) 200");
    }
  }

  /** Guards against a malformed request that takes the response of the request before it. */
  @Test
  void malformedRequestIsAnsweredAfterTheOneInProgress() throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER_WHEN_RELEASED);
    try (Socket socket = connect()) {
      write(socket, request("/any/1") + "GET / no-protocol x\r\n\r\n");
      awaitReport(report -> report.forwardedRequests() == 1);
      target.release();
      assertThat(statusesOf(readToEnd(socket))).isEqualTo("200 400");
    }
  }

  /**
   * Guards against a false response of the relay to a request at a target, and against requests
   * without a response that no target works on, at the time limit of the stop.
   */
  @Test
  void limitRefusesOnlyWhatIsNotForwarded() throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER_WHEN_RELEASED);
    try (Socket forwarded = connect();
        Socket waiting = connect();
        Socket incomplete = connect()) {
      write(forwarded, request("/any/1"));
      write(waiting, request("/keyed/1"));
      write(incomplete, "POST /any/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n\r\nha");
      awaitReport(r -> r.forwardedRequests() == 1 && r.busyConnections() == 2);
      relay.beginStop();
      StopReport report = relay.drain(1_000).block();
      assertThat(readToEnd(forwarded)).doesNotContain("HTTP/1.1");
      assertThat(readToEnd(waiting)).startsWith("HTTP/1.1 503").contains("retry-after");
      assertThat(readToEnd(incomplete)).startsWith("HTTP/1.1 503").contains("retry-after");
      assertThat(report.limitReached()).isTrue();
      assertThat(report.refusedRequests()).isEqualTo(2);
    }
  }

  /** Guards against a process that ends while connections are open or its listener accepts. */
  @Test
  void nothingIsOpenAfterTheDrain() throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER);
    try (Socket idle = connect()) {
      write(idle, request("/any/1"));
      awaitReport(report -> report.openConnections() == 1 && !target.requests().isEmpty());
      relay.beginStop();
      StopReport report = relay.drain(TIMEOUT_MILLIS).block();
      assertThat(report.openConnections()).isZero();
      assertThat(readToEnd(idle)).startsWith("HTTP/1.1 200");
      assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
    }
  }

  /** Guards against a second stop that ends the first one early or never completes. */
  @Test
  void repeatedStopWaitsForTheRequestInProgress() throws Exception {
    startTarget(ScriptedTarget.Step.ANSWER_WHEN_RELEASED);
    try (Socket socket = connect()) {
      write(socket, request("/any/1"));
      awaitReport(report -> report.forwardedRequests() == 1);
      relay.beginStop();
      final Mono<StopReport> first = startDrain(TIMEOUT_MILLIS);
      relay.beginStop();
      final Mono<StopReport> second = startDrain(1);
      awaitLogLine("stop.listener_closed");
      target.release();
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 200");
      assertThat(first.block().limitReached()).isFalse();
      assertThat(second.block()).isEqualTo(first.block());
    }
  }

  private static String statusesOf(String responses) {
    return Pattern.compile("HTTP/1.1 (\\d+)")
        .matcher(responses)
        .results()
        .map(result -> result.group(1))
        .collect(Collectors.joining(" "));
  }

  private void awaitReport(Predicate<StopReport> condition) throws InterruptedException {
    while (!condition.test(relay.stopReport().block())) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private void awaitLogLine(String event) throws InterruptedException {
    while (logLines.stream().noneMatch(line -> line.contains(event))) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
