package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ends the connection to a target in each way, in the middle of each kind of response. */
@Timeout(60)
class ResponseEndTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final String HALF = "ans";

  /** More than the socket buffers of both sides hold, so that the request is still written. */
  private static final int LARGE_REQUEST_BYTES = 8 * 1024 * 1024;

  /** Time in which the relay reads the first half of the response. */
  private static final long READ_MILLIS = 300;

  private enum Framing {
    LENGTH("Content-Length: 6\r\n\r\n" + HALF),
    CHUNKS("Transfer-Encoding: chunked\r\n\r\n6\r\n" + HALF),
    END_OF_CONNECTION("Connection: close\r\n\r\n" + HALF);

    private final String firstPart;

    Framing(String firstPart) {
      this.firstPart = firstPart;
    }
  }

  private enum ConnectionEnd {
    /** The target closes after it has read the request. */
    ORDERLY(0),
    /** The target closes its side only, and does not read the rest of the request. */
    ORDERLY_WHILE_WRITING(LARGE_REQUEST_BYTES),
    RESET(0),
    /** The write of the request fails. */
    RESET_WHILE_WRITING(LARGE_REQUEST_BYTES),
    /** The target sends nothing more. */
    TIMEOUT(0),
    CLIENT_CANCELS(0);

    private final int requestBytes;

    ConnectionEnd(int requestBytes) {
      this.requestBytes = requestBytes;
    }
  }

  private final RelayFixture fixture =
      new RelayFixture(
          RelayFixture.DRAIN_MILLIS,
          List.of(
              ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
              RelayFixture.route("unsafe", "/", SERVICE, RouteKind.UNSAFE, TIMEOUT_MILLIS)));
  private final CountDownLatch halfSent = new CountDownLatch(1);
  private final CountDownLatch answered = new CountDownLatch(1);
  private final CountDownLatch closedByRelay = new CountDownLatch(1);

  @AfterEach
  void stop() {
    fixture.close();
  }

  private void serve(Socket socket, Framing framing, ConnectionEnd end) {
    try (socket) {
      readHead(socket.getInputStream());
      String head = "HTTP/1.1 200 OK\r\nid: r\r\nsignature: s\r\n";
      write(socket, head + framing.firstPart);
      halfSent.countDown();
      TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
      switch (end) {
        case RESET, RESET_WHILE_WRITING -> socket.setSoLinger(true, 0);
        case ORDERLY_WHILE_WRITING -> {
          socket.shutdownOutput();
          answered.await();
        }
        case TIMEOUT, CLIENT_CANCELS -> {
          awaitEnd(socket.getInputStream());
          closedByRelay.countDown();
        }
        default -> {}
      }
    } catch (IOException | InterruptedException e) {
      // The relay may close the connection first.
    }
  }

  private static void awaitEnd(InputStream in) throws IOException {
    try {
      in.readAllBytes();
    } catch (SocketException e) {
      // A reset ends the connection too.
    }
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.read());
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private String request(ConnectionEnd end) throws Exception {
    try (Socket socket = new Socket(RelayFixture.HOST, fixture.port())) {
      String head = "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nid: r\r\nConnection: close\r\n";
      write(socket, head + "Content-Length: " + end.requestBytes + "\r\n\r\n");
      socket.getOutputStream().write(new byte[end.requestBytes]);
      if (end == ConnectionEnd.CLIENT_CANCELS) {
        halfSent.await();
        return "";
      }
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * Guards against half of a response that reaches a client as a complete success, whichever event
   * ends the connection to the target. Only a target that closes its side ends a response that has
   * no length.
   */
  @ParameterizedTest
  @CsvSource({
    "LENGTH,            ORDERLY,               502",
    "LENGTH,            ORDERLY_WHILE_WRITING, 502",
    "LENGTH,            RESET,                 502",
    "LENGTH,            RESET_WHILE_WRITING,   502",
    "LENGTH,            TIMEOUT,               504",
    "LENGTH,            CLIENT_CANCELS,        ''",
    "CHUNKS,            ORDERLY,               502",
    "CHUNKS,            ORDERLY_WHILE_WRITING, 502",
    "CHUNKS,            RESET,                 502",
    "CHUNKS,            RESET_WHILE_WRITING,   502",
    "CHUNKS,            TIMEOUT,               504",
    "CHUNKS,            CLIENT_CANCELS,        ''",
    "END_OF_CONNECTION, ORDERLY,               200",
    "END_OF_CONNECTION, ORDERLY_WHILE_WRITING, 200",
    "END_OF_CONNECTION, RESET,                 502",
    "END_OF_CONNECTION, RESET_WHILE_WRITING,   502",
    "END_OF_CONNECTION, TIMEOUT,               504",
    "END_OF_CONNECTION, CLIENT_CANCELS,        ''"
  })
  void clientLearnsHowTheResponseEnds(Framing framing, ConnectionEnd end, String status)
      throws Exception {
    try (LoopbackServer server = new LoopbackServer("ending", s -> serve(s, framing, end))) {
      OwnershipView.Target view =
          new OwnershipView.Target(
              TargetId.of("t"),
              SERVICE,
              server.address(),
              AvailabilityZone.of("z"),
              20,
              TargetPhase.READY,
              1);
      fixture.updateOwnership(new OwnershipView(List.of(view), List.of()));
      String response = request(end);
      answered.countDown();
      assertThat(response).startsWith(status.isEmpty() ? "" : "HTTP/1.1 " + status);
      assertThat(response.endsWith("\r\n\r\n" + HALF)).isEqualTo(status.equals("200"));
      if (end == ConnectionEnd.TIMEOUT || end == ConnectionEnd.CLIENT_CANCELS) {
        closedByRelay.await();
      }
    }
  }
}
