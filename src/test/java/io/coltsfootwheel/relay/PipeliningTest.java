package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.loadcontrol.RequestPipeline;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

/** Tests requests that a client sends on a connection before earlier ones are answered. */
@Timeout(60)
class PipeliningTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final ServiceName KEYED = ServiceName.of("keyed");
  private static final long TIMEOUT_MILLIS = 20_000;

  /** Longer than the relay needs to forward a request that it must not forward. */
  private static final long SETTLE_MILLIS = 200;

  private final RelayFixture fixture =
      new RelayFixture(
          RelayFixture.DRAIN_MILLIS,
          List.of(
              ConfigurationItem.of(new ServicePolicy(SERVICE, false, 500), "{}"),
              ConfigurationItem.of(new ClientLimits(2_048, 1_000, 60_000, 60_000), "{}"),
              ConfigurationItem.of(new ServicePolicy(KEYED, true, 20), "{}"),
              RelayFixture.route("keyed", KEYED, RouteKind.SAFE, TIMEOUT_MILLIS),
              RelayFixture.route("safe", SERVICE, RouteKind.SAFE, TIMEOUT_MILLIS),
              RelayFixture.route("unsafe", SERVICE, RouteKind.UNSAFE, TIMEOUT_MILLIS)));

  private final HoldingTarget target = new HoldingTarget(SERVICE, 100, 0);
  private Socket socket;

  @BeforeEach
  void connect() throws IOException {
    // No target holds a key of the keyed service, so its requests wait for an owner.
    OwnershipView.Range moving =
        new OwnershipView.Range(KEYED, KeyRange.ALL, target.view().id(), false, 5_000);
    fixture.updateOwnership(new OwnershipView(List.of(target.view()), List.of(moving)));
    socket = new Socket(RelayFixture.HOST, fixture.port());
    socket.setSoTimeout((int) TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    socket.close();
    fixture.close();
    target.close();
  }

  private static String request(String path, String... headers) {
    return "GET %s HTTP/1.1\r\nHost: %s\r\nid: %s\r\n%s\r\n"
        .formatted(
            path,
            RelayFixture.HOST,
            path,
            List.of(headers).stream().map(h -> h + "\r\n").collect(Collectors.joining()));
  }

  private void send(String... requests) throws IOException {
    socket.getOutputStream().write(String.join("", requests).getBytes(StandardCharsets.UTF_8));
  }

  private void awaitReceived(int count) throws InterruptedException {
    await(() -> target.received().size() >= count);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private static void settle() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
  }

  private void awaitLogLine(String event) throws InterruptedException {
    await(() -> fixture.logLines().stream().anyMatch(line -> line.contains(event)));
  }

  /** Reads responses until one has the given path as its body. */
  private String readUntil(String path) throws IOException {
    StringBuilder text = new StringBuilder();
    String end = "\r\n\r\n" + path;
    while (text.indexOf(end, Math.max(0, text.length() - end.length())) < 0) {
      int character = socket.getInputStream().read();
      if (character < 0) {
        return text + "[closed]";
      }
      text.append((char) character);
    }
    return text.toString();
  }

  private String readToEnd() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static String statusesOf(String responses) {
    return find("HTTP/1.1 (\\d+)", responses);
  }

  private static String pathsOf(String responses) {
    return find("\r\n\r\n(/[a-z]+/[a-z0-9]+)", responses);
  }

  private static String find(String pattern, String responses) {
    return Pattern.compile(pattern)
        .matcher(responses)
        .results()
        .map(result -> result.group(1))
        .collect(Collectors.joining(" "));
  }

  /** Guards against requests that wait for earlier ones, and against responses out of order. */
  @Test
  void idempotentRequestsRunConcurrentlyAndAreAnsweredInOrder() throws Exception {
    send(request("/safe/hold1"), request("/safe/2"), request("/safe/3"));
    awaitReceived(3);
    settle();
    assertThat(socket.getInputStream().available()).isZero();
    target.release("/safe/hold1");
    assertThat(pathsOf(readUntil("/safe/3"))).isEqualTo("/safe/hold1 /safe/2 /safe/3");
  }

  /**
   * Guards against a request that is not idempotent and is forwarded while another one of its
   * connection is: the client could not know which of them to repeat after a broken connection.
   */
  @Test
  void otherRequestsRunAlone() throws Exception {
    send(request("/safe/hold1"), request("/unsafe/hold2"), request("/safe/3"));
    awaitReceived(1);
    settle();
    assertThat(target.received()).containsExactly("/safe/hold1");
    target.release("/safe/hold1");
    awaitReceived(2);
    settle();
    assertThat(target.received()).containsExactly("/safe/hold1", "/unsafe/hold2");
    target.release("/unsafe/hold2");
    assertThat(statusesOf(readUntil("/safe/3"))).isEqualTo("200 200 200");
  }

  /**
   * Guards against requests that are forwarded although the client resends them, because they stand
   * behind a response that closes the connection, and against responses that are lost by it.
   */
  @ParameterizedTest
  @CsvSource({
    "'GET /safe/2 HTTP/1.1', 'Connection: close', 200",
    "'GET /safe/2 HTTP/1.0', 'x: y', 200",
    "'GET / no-protocol x', 'x: y', 400",
    "'GET /safe/2 HTTP/1.1', 'x: LONG', 431",
    "'POST /safe/2 HTTP/1.1', 'Content-Length: 1001', 413",
    "'POST /safe/2 HTTP/1.1', 'Content-Length: 1\r\nExpect: other', 417",
    "'POST /safe/2 HTTP/1.1', 'Content-Length: 1001\r\nExpect: 100-continue', 413"
  })
  void nothingBehindAResponseThatClosesIsForwarded(String line, String header, int status)
      throws Exception {
    send(
        request("/safe/hold1"),
        line + "\r\nHost: 127.0.0.1\r\n" + header.replace("LONG", "a".repeat(3_000)) + "\r\n\r\n",
        request("/safe/3"),
        request("/unsafe/4"));
    awaitReceived(status == 200 ? 2 : 1);
    settle();
    target.release("/safe/hold1");
    String text = readToEnd();
    assertThat(statusesOf(text)).isEqualTo("200 " + status);
    assertThat(text.split("connection: close", -1)).hasSize(2);
    assertThat(target.received()).doesNotContain("/safe/3", "/unsafe/4");
    if (status == 200) {
      awaitLogLine("request.discarded");
    }
  }

  /** Guards against work that targets do for a client that has left. */
  @ParameterizedTest
  @ValueSource(ints = {3, 100})
  void departureOfTheClientCancelsAllIdempotentRequests(int count) throws Exception {
    send(IntStream.range(0, count).mapToObj(i -> request("/safe/hold" + i)).toArray(String[]::new));
    int started = Math.min(count, RequestPipeline.MAX_STARTED);
    awaitReceived(started);
    settle();
    socket.close();
    long leftNanos = System.nanoTime();
    await(() -> target.cancelled().size() == started);
    assertThat(System.nanoTime() - leftNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
    settle();
    assertThat(target.received()).hasSize(started);
    assertThat(fixture.relay().stopReport().block().forwardedRequests()).isZero();
  }

  /** Guards against a deadline that begins when the turn of a request comes. */
  @Test
  void deadlineCountsFromWhenTheRequestWasRead() throws Exception {
    send(request("/safe/hold1"), request("/unsafe/2", "deadline: 100"), request("/safe/3"));
    awaitReceived(1);
    settle();
    target.release("/safe/hold1");
    assertThat(statusesOf(readUntil("/safe/3"))).isEqualTo("200 503 200");
    assertThat(target.received()).doesNotContain("/unsafe/2");
  }

  /** Guards against a stop that closes a connection on which requests are still unanswered. */
  @ParameterizedTest
  @CsvSource({"false, '200 200 200'", "true, '200 200 503'"})
  void stopAnswersWhatWasForwarded(boolean draining, String statuses) throws Exception {
    send(request("/safe/hold1"), request("/safe/hold2"), request("/unsafe/3"));
    awaitReceived(2);
    fixture.relay().beginStop();
    Mono<StopReport> stopped = Mono.empty();
    if (draining) {
      stopped = fixture.relay().drain(TIMEOUT_MILLIS).cache();
      stopped.subscribe();
      awaitLogLine("stop.listener_closed");
    }
    target.release("/safe/hold2");
    settle();
    target.release("/safe/hold1");
    String text = readToEnd();
    assertThat(statusesOf(text)).isEqualTo(statuses);
    assertThat(text.split("connection: close", -1)).hasSize(2);
    assertThat(stopped.map(StopReport::limitReached).blockOptional().orElse(false)).isFalse();
  }

  /**
   * Guards against a response that takes the place of an earlier one at the time limit of a stop,
   * and against finished responses that are lost behind a request that is refused there.
   */
  @ParameterizedTest
  @CsvSource({"/keyed/1, '503 200'", "/safe/hold1, ''"})
  void limitOfTheStopKeepsTheOrder(String first, String statuses) throws Exception {
    send(request(first, "key: 1"), request("/safe/2"));
    await(() -> target.received().contains("/safe/2"));
    settle();
    fixture.relay().beginStop();
    StopReport report = fixture.relay().drain(500).block();
    assertThat(statusesOf(readToEnd())).isEqualTo(statuses);
    assertThat(report.limitReached()).isTrue();
  }

  /** Guards against a stop that ends a request of which only the beginning was received. */
  @ParameterizedTest
  @ValueSource(ints = {1, 20, 40})
  void stopAwaitsARequestReceivedInPartBehindOthers(int receivedBytes) throws Exception {
    String last = request("/safe/2");
    send(request("/safe/hold1"), last.substring(0, receivedBytes));
    awaitReceived(1);
    fixture.relay().beginStop();
    target.release("/safe/hold1");
    assertThat(readUntil("/safe/hold1")).doesNotContain("connection: close");
    send(last.substring(receivedBytes));
    assertThat(readToEnd()).contains("connection: close").endsWith("/safe/2");
  }

  /**
   * Guards against requests without a bound in progress for one connection, and against a
   * connection that is closed, or never read again, because its client sent many.
   */
  @ParameterizedTest
  @ValueSource(ints = {20, 2_000})
  void requestsBeyondTheBoundsWait(int count) throws Exception {
    Thread sender = new Thread(() -> sendMany(count));
    sender.start();
    awaitReceived(RequestPipeline.MAX_STARTED);
    settle();
    assertThat(target.received()).hasSize(RequestPipeline.MAX_STARTED);
    target.release("/safe/hold0");
    String expected =
        IntStream.range(1, count).mapToObj(i -> " /safe/n" + i).collect(Collectors.joining());
    String paths = pathsOf(readUntil("/safe/n" + (count - 1)));
    // A comparison by assertEquals would print both texts.
    assertThat(paths.equals("/safe/hold0" + expected)).isTrue();
    sender.join();
  }

  private void sendMany(int count) {
    try {
      send(request("/safe/hold0"));
      for (int i = 1; i < count; i++) {
        send(request("/safe/n" + i));
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
