package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Changes of the configuration while connections are open. A request is handled by the version in
 * force at its head; a connection between two requests by the newest one.
 */
@Timeout(60)
class ChangedLimitsTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final int HEAD = 4_096;
  private static final int BODY = 4_096;
  private static final int TIMEOUT = 20_000;
  private static final int SHORT_TIMEOUT = 400;

  /** Larger than the socket buffers of the relay and the client together. */
  private static final int LARGE_BYTES = 12 * 1024 * 1024;

  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

  private final List<Socket> sockets = new ArrayList<>();
  private final HoldingTarget target = new HoldingTarget(SERVICE, 8, 10);
  private final RelayFixture fixture =
      new RelayFixture(RelayFixture.DRAIN_MILLIS, items(limits(HEAD, BODY, TIMEOUT, TIMEOUT)));
  private long version = 1;

  @BeforeEach
  void start() {
    fixture.updateOwnership(new OwnershipView(List.of(target.view()), List.of()));
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket socket : sockets) {
      socket.close();
    }
    fixture.close();
    target.close();
  }

  private static ClientLimits limits(int head, int body, long headMillis, long idleMillis) {
    return new ClientLimits(head, body, headMillis, idleMillis);
  }

  private static List<ConfigurationItem> items(ClientLimits limits) {
    return List.of(
        ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
        ConfigurationItem.of(limits, "{}"),
        RelayFixture.route("any", SERVICE, RouteKind.SAFE, 10_000));
  }

  /** Applies a configuration and waits until it is in force. */
  private void change(List<ConfigurationItem> items) {
    version++;
    fixture.relay().configure(new Configuration(version, items, List.of()));
    CompletableFuture.runAsync(() -> {}, fixture.relay().executor()).join();
  }

  private void change(ClientLimits limits) {
    change(items(limits));
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", fixture.port());
    socket.setSoTimeout(8_000);
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String get(String path, int headBytes) {
    String start = "GET /any/" + path + " HTTP/1.1\r\n";
    String fields = "Host: 127.0.0.1\r\nid: " + path + "\r\npad: ";
    int padding = headBytes - (fields.length() - 2 * 2);
    return start + fields + "p".repeat(padding) + "\r\n\r\n";
  }

  private static String get(String path) {
    return get(path, 100);
  }

  private static String post(String path, int bodyBytes, boolean isChunked) {
    String head = "POST /any/" + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nid: " + path + "\r\n";
    String body = "b".repeat(bodyBytes);
    return isChunked
        ? head
            + "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(bodyBytes)
            + "\r\n"
            + body
            + "\r\n0\r\n\r\n"
        : head + "Content-Length: " + bodyBytes + "\r\n\r\n" + body;
  }

  /** Reads one response and returns its status, 0 when the connection ends before it. */
  private static int status(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int value;
      try {
        value = input.read();
      } catch (SocketException e) {
        value = -1;
      }
      if (value < 0) {
        return 0;
      }
      head.append((char) value);
    }
    Matcher length = LENGTH.matcher(head);
    if (length.find()) {
      input.readNBytes(Integer.parseInt(length.group(1)));
    }
    return Integer.parseInt(head.substring(9, 12));
  }

  private static int exchange(Socket socket, String request) throws IOException {
    send(socket, request);
    return status(socket);
  }

  /** Returns whether a connection ends within a time. */
  private static boolean endsWithin(Socket socket, int millis) throws IOException {
    socket.setSoTimeout(millis);
    try {
      return status(socket) == 0;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      socket.setSoTimeout(8_000);
    }
  }

  private static boolean hasWholeResponse(Socket socket) throws IOException {
    try {
      return socket.getInputStream().readNBytes(LARGE_BYTES).length == LARGE_BYTES;
    } catch (SocketException e) {
      return false;
    }
  }

  /** Guards against kept connections on which a body is judged by the limit of an old version. */
  @ParameterizedTest
  @CsvSource({
    "4096, 8000, 7200, false, 200",
    "4096, 8000, 7200, true, 200",
    "4096, 8000, 8001, false, 413",
    "4096, 8000, 8001, true, 413",
    "4096, 1000, 1001, false, 413",
    "4096, 1000, 1001, true, 413",
    "4096, 1000, 1000, true, 200"
  })
  void bodyOnAKeptConnectionFollowsTheNewestVersion(
      int before, int after, int bodyBytes, boolean isChunked, int expected) throws IOException {
    change(limits(HEAD, before, TIMEOUT, TIMEOUT));
    Socket socket = connect();
    assertThat(exchange(socket, get("first"))).isEqualTo(200);
    change(limits(HEAD, after, TIMEOUT, TIMEOUT));
    assertThat(exchange(socket, post("second", bodyBytes, isChunked))).isEqualTo(expected);
  }

  /** Guards against kept connections on which a head is judged by the limit of an old version. */
  @ParameterizedTest
  @CsvSource({
    "4096, 16384, 12000, 200",
    "4096, 16384, 16384, 200",
    "4096, 16384, 16385, 431",
    "4096, 100000, 90000, 200",
    "4096, 2048, 2049, 431",
    "4096, 2048, 2048, 200"
  })
  void headOnAKeptConnectionFollowsTheNewestVersion(
      int before, int after, int headBytes, int expected) throws IOException {
    change(limits(before, BODY, TIMEOUT, TIMEOUT));
    Socket socket = connect();
    assertThat(exchange(socket, get("first"))).isEqualTo(200);
    change(limits(after, BODY, TIMEOUT, TIMEOUT));
    assertThat(exchange(socket, get("second", headBytes))).isEqualTo(expected);
    if (expected == 200) {
      assertThat(exchange(socket, get("third"))).isEqualTo(200);
    }
  }

  /** Guards against fields behind a body that no version allows. */
  @ParameterizedTest
  @CsvSource({"4096, 8192, 6000, 200", "8192, 4096, 6000, 431", "8192, 4096, 60000, 431"})
  void trailersOnAKeptConnectionFollowTheNewestVersion(
      int before, int after, int trailerBytes, int expected) throws IOException {
    change(limits(before, BODY, TIMEOUT, TIMEOUT));
    Socket socket = connect();
    assertThat(exchange(socket, get("first"))).isEqualTo(200);
    change(limits(after, BODY, TIMEOUT, TIMEOUT));
    String request = post("second", 100, true);
    String trailers = ("a: " + "t".repeat(96) + "\r\n").repeat(trailerBytes / 100);
    int status = exchange(socket, request.substring(0, request.length() - 2) + trailers + "\r\n");
    assertThat(status).isEqualTo(expected);
  }

  /** Guards against connections that close, or stay open, by the idle time of an old version. */
  @ParameterizedTest
  @CsvSource({"400, 20000, false", "20000, 400, true"})
  void idleConnectionFollowsTheNewestVersion(long before, long after, boolean closes)
      throws IOException {
    change(limits(HEAD, BODY, TIMEOUT, before));
    Socket socket = connect();
    assertThat(exchange(socket, get("first"))).isEqualTo(200);
    change(limits(HEAD, BODY, TIMEOUT, after));
    assertThat(endsWithin(socket, closes ? 5_000 : 1_500)).isEqualTo(closes);
  }

  /** Guards against idle times that begin again with each change. */
  @Test
  void changesDoNotKeepAnIdleConnectionOpen() throws Exception {
    Socket socket = connect();
    assertThat(exchange(socket, get("first"))).isEqualTo(200);
    for (int i = 0; i < 20; i++) {
      change(limits(HEAD, BODY, TIMEOUT, 1_500 + i));
      Thread.sleep(100);
    }
    assertThat(endsWithin(socket, 2_000)).isTrue();
  }

  /** Guards against heads that are judged by the time of the version at their accept. */
  @ParameterizedTest
  @CsvSource({"20000, 400, 408", "400, 20000, 200"})
  void timeOfAHeadFollowsItsVersion(long before, long after, int expected) throws Exception {
    change(limits(HEAD, BODY, before, TIMEOUT));
    Socket socket = connect();
    assertThat(exchange(socket, get("first"))).isEqualTo(200);
    change(limits(HEAD, BODY, after, TIMEOUT));
    send(socket, "GET /any/second HTT");
    Thread.sleep(1_500);
    if (expected == 200) {
      send(socket, "P/1.1\r\nHost: 127.0.0.1\r\nid: second\r\n\r\n");
    }
    assertThat(status(socket)).isEqualTo(expected);
  }

  /** Guards against a short head time that waits for the check of an earlier, longer one. */
  @Test
  void shortTimeOfAHeadIsCheckedAfterALongOne() throws Exception {
    Socket socket = connect();
    send(socket, "GET /any/first HTT");
    Thread.sleep(200);
    assertThat(exchange(socket, "P/1.1\r\nHost: 127.0.0.1\r\nid: first\r\n\r\n")).isEqualTo(200);
    change(limits(HEAD, BODY, SHORT_TIMEOUT, TIMEOUT));
    send(socket, "GET /any/second HTT");
    assertThat(status(socket)).isEqualTo(408);
  }

  /** Guards against a request that is refused by a version that came after its head. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void bodyInProgressKeepsTheVersionOfItsHead(boolean isChunked) throws Exception {
    Socket socket = connect();
    String request = post("first", 4_000, isChunked);
    send(socket, request.substring(0, 200));
    Thread.sleep(200);
    change(limits(HEAD, 1_000, TIMEOUT, SHORT_TIMEOUT));
    Thread.sleep(1_500);
    send(socket, request.substring(200));
    assertThat(status(socket)).isEqualTo(200);
    assertThat(exchange(socket, post("second", 1_001, isChunked))).isEqualTo(413);
  }

  /** Guards against a head whose limits change while it is received. */
  @Test
  void headInProgressKeepsItsVersion() throws Exception {
    Socket socket = connect();
    String request = get("first", 3_000);
    send(socket, request.substring(0, 1_000));
    Thread.sleep(200);
    change(limits(1_024, 0, SHORT_TIMEOUT, SHORT_TIMEOUT));
    Thread.sleep(1_000);
    send(socket, request.substring(1_000));
    assertThat(status(socket)).isEqualTo(200);
    assertThat(exchange(socket, get("second", 1_025))).isEqualTo(431);
  }

  /** Guards against bodies that no configuration allows or forbids yet. */
  @ParameterizedTest
  @CsvSource({"9000000, 10000000, 200", "9000000, 4096, 413", "4096, 4096, 200"})
  void bodyBeforeTheFirstConfigurationFollowsThatOne(int bodyBytes, int limit, int expected)
      throws Exception {
    try (RelayFixture unconfigured = RelayFixture.unconfigured();
        Socket socket = new Socket("127.0.0.1", unconfigured.port())) {
      unconfigured.updateOwnership(new OwnershipView(List.of(target.view()), List.of()));
      socket.setSoTimeout(8_000);
      CompletableFuture<Void> sent =
          CompletableFuture.runAsync(
              () -> {
                try {
                  send(socket, post("first", bodyBytes, false));
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
      sent.join();
      Thread.sleep(200);
      unconfigured
          .relay()
          .configure(new Configuration(1, items(limits(HEAD, limit, TIMEOUT, TIMEOUT)), List.of()));
      assertThat(status(socket)).isEqualTo(expected);
    }
  }

  /** Guards against responses that are cut by the idle time of another version than their own. */
  @ParameterizedTest
  @CsvSource({"400, 20000, 20000, true", "20000, 20000, 400, true", "20000, 400, 400, false"})
  void responseInProgressKeepsTheVersionOfItsRequest(
      long atAccept, long atRequest, long afterRequest, boolean isComplete) throws Exception {
    try (HoldingTarget large = new HoldingTarget(SERVICE, 8, LARGE_BYTES)) {
      fixture.updateOwnership(new OwnershipView(List.of(large.view()), List.of()));
      change(limits(HEAD, BODY, TIMEOUT, atAccept));
      Socket socket = connect();
      change(limits(HEAD, BODY, TIMEOUT, atRequest));
      send(socket, get("first"));
      Thread.sleep(300);
      change(limits(HEAD, BODY, TIMEOUT, afterRequest));
      Thread.sleep(2_500);
      assertThat(hasWholeResponse(socket)).isEqualTo(isComplete);
    }
  }

  /** Guards against requests whose route, read with their head, is gone before they start. */
  @Test
  void requestBehindAnotherKeepsTheVersionOfItsHead() throws Exception {
    ClientLimits limits = limits(HEAD, BODY, TIMEOUT, TIMEOUT);
    List<ConfigurationItem> unsafe =
        List.of(
            ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
            ConfigurationItem.of(limits, "{}"),
            RelayFixture.route("any", SERVICE, RouteKind.UNSAFE, 10_000));
    change(unsafe);
    Socket socket = connect();
    send(socket, get("hold-1") + get("second"));
    Thread.sleep(500);
    change(
        List.of(
            ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
            ConfigurationItem.of(limits, "{}"),
            RelayFixture.route("other", SERVICE, RouteKind.UNSAFE, 10_000)));
    target.release("/any/hold-1");
    assertThat(status(socket)).isEqualTo(200);
    assertThat(status(socket)).isEqualTo(200);
    // Whether 404 or 503: the relay of this test does not know that no newer routes exist.
    assertThat(exchange(socket, get("third"))).isIn(404, 503);
  }

  /** Guards against more kept connections to a target than its service allows now. */
  @Test
  void keptConnectionsToATargetFollowTheNewestVersion() throws Exception {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      clients.add(connect());
      send(clients.get(i), get("hold-" + i));
    }
    for (int i = 0; i < 200 && target.received().size() < 6; i++) {
      Thread.sleep(20);
    }
    for (int i = 0; i < 6; i++) {
      target.release("/any/hold-" + i);
    }
    for (Socket client : clients) {
      assertThat(status(client)).isEqualTo(200);
    }
    ClientLimits limits = limits(HEAD, BODY, TIMEOUT, TIMEOUT);
    assertThat(target.openConnections()).isEqualTo(6);
    change(
        List.of(
            ConfigurationItem.of(new ServicePolicy(SERVICE, false, 4), "{}"),
            ConfigurationItem.of(limits, "{}"),
            RelayFixture.route("any", SERVICE, RouteKind.SAFE, 10_000)));
    for (int i = 0; i < 200 && target.openConnections() > 2; i++) {
      Thread.sleep(20);
    }
    assertThat(target.openConnections()).isEqualTo(2);
  }
}
