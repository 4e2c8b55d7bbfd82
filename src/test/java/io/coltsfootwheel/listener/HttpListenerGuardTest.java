package io.coltsfootwheel.listener;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

/** Tests the bounds of an HTTP listener on loopback connections. */
class HttpListenerGuardTest {
  private static final int MAX_CONNECTIONS = 4;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final String ECHO = "POST /echo HTTP/1.1\r\nHost: h\r\n";

  private final LoopResources loops = LoopResources.create("test", 1, true);
  private final List<Socket> sockets = new ArrayList<>();
  private DisposableServer server;

  @BeforeEach
  void start() {
    HttpListenerLimits limits =
        new HttpListenerLimits(MAX_CONNECTIONS, 1024, 64 * 1024, 300, 60_000);
    server =
        new HttpListenerGuard(limits)
            .addTo(HttpServer.create())
            .runOn(loops, false)
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) ->
                    response.sendString(
                        request
                            .receive()
                            .asString()
                            .reduce(String::concat)
                            .map(body -> body + ">")))
            .bindNow();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    server.disposeNow();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", server.port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads until a text was received a number of times, or the connection ends. */
  private static String readUntil(Socket socket, String text, int count) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder received = new StringBuilder();
    while (received.toString().split(text, -1).length <= count) {
      int value = input.read();
      if (value < 0) {
        return received + "<end>";
      }
      received.append((char) value);
    }
    return received.toString();
  }

  private static boolean isClosed(Socket socket) throws IOException {
    try {
      return readUntil(socket, "<end>", 1).endsWith("<end>");
    } catch (IOException e) {
      return !(e instanceof java.net.SocketTimeoutException);
    }
  }

  /** Guards against requests that a gate holds back for good, or passes on in another order. */
  @ParameterizedTest
  @CsvSource({
    "300, 'Content-Length: 3', '%03d', ''",
    "300, 'Content-Length: 3', '%03d', '\r\n'",
    "100, 'Transfer-Encoding: chunked', '3\r\n%03d\r\n0\r\n\r\n', ''",
    "20, 'Content-Length: 1003', '%01003d', ''",
    "20, 'Transfer-Encoding: chunked', '3eb\r\n%01003d\r\n0\r\nT: 1\r\n\r\n', ''"
  })
  void requestsSentAheadAreAnsweredInOrder(int count, String header, String body, String behind)
      throws IOException {
    Socket socket = connect();
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < count; i++) {
      requests.append(ECHO).append(header).append("\r\n\r\n").append(body.formatted(i));
      requests.append(behind);
    }
    send(socket, requests.toString());
    int position = -1;
    String answers = readUntil(socket, "%03d>".formatted(count - 1), 1);
    for (int i = 0; i < count; i++) {
      int next = answers.indexOf("%03d>".formatted(i), position + 1);
      assertThat(next).as("answer %d in %s", i, answers).isGreaterThan(position);
      position = next;
    }
  }

  /** Guards against heads and empty lines without end, and heads that are never completed. */
  @ParameterizedTest
  @CsvSource({
    "'GET / HTTP/1.1\r\n', 'a: b\r\n', 20000",
    "'', '\r\n', 200",
    "'GET /', 'aaaaaaaa', 20000",
    "'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'a: b\r\n', 20000",
    "'GET / HTTP/1.1\r\n', '', 1",
    "'G', '', 1",
    "'GET / HTTP/1.1\r\r\n', '', 1"
  })
  void headWithoutEndEndsItsConnection(String opening, String repeated, int count)
      throws IOException {
    Socket socket = connect();
    try {
      send(socket, opening + repeated.repeat(count));
    } catch (IOException e) {
      // The connection was closed while it was written.
    }
    assertThat(isClosed(socket)).isTrue();
    Socket other = connect();
    send(other, ECHO + "Content-Length: 2\r\n\r\nok");
    assertThat(readUntil(other, "ok", 1)).contains("200 OK");
  }

  /** Guards against bodies that together use up the memory. */
  @Test
  void largestBodyIsAbortedWhenMemoryIsShort() throws IOException {
    Socket small = connect();
    send(small, ECHO + "Content-Length: 1000\r\n\r\n" + "a".repeat(500));
    Socket large = connect();
    try {
      send(large, ECHO + "Content-Length: 1000000\r\n\r\n" + "a".repeat(500_000));
    } catch (IOException e) {
      // The connection was closed while it was written.
    }
    assertThat(isClosed(large)).isTrue();
    send(small, "a".repeat(500));
    assertThat(readUntil(small, "a".repeat(1000), 1)).contains("200 OK");
  }

  /** Guards against connections that keep all others out. */
  @Test
  void connectionWithoutRequestForLongestIsReplaced() throws IOException {
    List<Socket> first = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      first.add(connect());
      send(first.get(i), ECHO + "Content-Length: 2\r\n\r\nok");
      readUntil(first.get(i), "ok", 1);
    }
    send(first.get(0), ECHO + "Content-Length: 2\r\n\r\nok");
    readUntil(first.get(0), "ok", 1);
    Socket added = connect();
    send(added, ECHO + "Content-Length: 2\r\n\r\nok");
    assertThat(readUntil(added, "ok", 1)).contains("200 OK");
    assertThat(isClosed(first.get(1))).isTrue();
    send(first.get(0), ECHO + "Content-Length: 2\r\n\r\nok");
    assertThat(readUntil(first.get(0), "ok", 1)).contains("200 OK");
  }
}
