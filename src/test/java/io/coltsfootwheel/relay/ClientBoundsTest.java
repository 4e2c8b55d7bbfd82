package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what clients can make a relay hold. */
@Timeout(60)
class ClientBoundsTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final String REQUEST = "GET /any/x HTTP/1.1\r\nHost: 127.0.0.1\r\nid: 1\r\n\r\n";
  private static final int READ_TIMEOUT_MILLIS = 8_000;

  private final List<Socket> sockets = new ArrayList<>();
  private final ScriptedTarget target =
      new ScriptedTarget("t", SERVICE, ScriptedTarget.Step.ANSWER);
  private final RelayFixture fixture =
      new RelayFixture(
          RelayFixture.DRAIN_MILLIS,
          List.of(
              ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
              ConfigurationItem.of(new ClientLimits(16 * 1024, 1024, 1_000, 4_000), "{}"),
              RelayFixture.route("any", SERVICE, RouteKind.SAFE, 2_000)));

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

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", fixture.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      // The relay has closed the connection.
    }
  }

  /** Reads until the connection ends or is reset. */
  private static String readToEnd(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder received = new StringBuilder();
    try {
      for (int value = input.read(); value >= 0; value = input.read()) {
        received.append((char) value);
      }
    } catch (java.net.SocketException e) {
      received.append("<reset>");
    }
    return received.toString();
  }

  /** Guards against heads that a client begins and never completes. */
  @ParameterizedTest
  @CsvSource({
    "'GET /any', '', 1, 'HTTP/1.1 408'",
    "'GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n', '', 1, 'HTTP/1.1 408'",
    "'GET / HTTP/1.1\r\n', 'a: b\r\n', 10000, 'HTTP/1.1 431'",
    "'', '\r\n', 2000, ''"
  })
  void headWithoutEndEndsItsConnection(String opening, String repeated, int count, String answer)
      throws IOException {
    Socket socket = connect();
    send(socket, opening + repeated.repeat(count));
    assertThat(readToEnd(socket)).startsWith(answer);
    assertOrdinaryRequestIsAnswered();
  }

  /** Guards against partial heads that together use up the memory of the process. */
  @Test
  void partialHeadsAreAbortedWhenMemoryIsShort() throws IOException {
    for (int i = 0; i < 64; i++) {
      send(connect(), "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(2_000));
    }
    assertOrdinaryRequestIsAnswered();
    assertThat(fixture.relay().budgets().input().totalBytes()).isLessThanOrEqualTo(4L << 20);
  }

  /** Guards against empty lines between requests that end the connection. */
  @Test
  void emptyLinesBetweenRequestsAreSkipped() throws IOException {
    Socket socket = connect();
    send(socket, ("\r\n\r\n" + REQUEST).repeat(40));
    send(socket, REQUEST.replace("id: 1", "id: 1\r\nConnection: close"));
    assertThat(readToEnd(socket).split("HTTP/1.1 ", -1)).hasSize(42);
  }

  /** Guards against requests that stay unread after their connection gave way to others. */
  @ParameterizedTest
  @ValueSource(ints = {31, 32, 33, 64, 3_000})
  void requestsSentAheadAreAnsweredOverSeveralTurns(int count) throws IOException {
    Socket socket = connect();
    String noRoute = REQUEST.replace("/any/", "/none/");
    send(socket, noRoute.repeat(count));
    send(socket, noRoute.replace("id: 1", "id: 1\r\nConnection: close"));
    assertThat(readToEnd(socket).split("HTTP/1.1 ", -1)).hasSize(count + 2);
  }

  private void assertOrdinaryRequestIsAnswered() throws IOException {
    Socket socket = connect();
    send(socket, REQUEST.replace("id: 1", "id: 1\r\nConnection: close"));
    assertThat(readToEnd(socket)).contains("HTTP/1.1 200");
  }
}
