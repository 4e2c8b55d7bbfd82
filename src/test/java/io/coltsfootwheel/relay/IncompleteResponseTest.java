package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cuts the response of a target after each of its bytes. */
@Timeout(120)
class IncompleteResponseTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final String HOST = "127.0.0.1";
  private static final long TIMEOUT_MILLIS = 20_000;
  private static final String BODY = "answer";
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nid: r\r\nsignature: s\r\nConnection: keep-alive\r\n";

  /** Framing of a response, with the number of its first bytes that do not make it complete. */
  private enum Framing {
    LENGTH(HEAD + "Content-Length: 6\r\n\r\n", BODY),
    /** The length comes first, so that it is known when the head breaks off. */
    EARLY_LENGTH(HEAD.replace("id:", "Content-Length: 6\r\nid:") + "\r\n", BODY),
    NO_BODY(HEAD.replace("200 OK", "204 No Content") + "\r\n", ""),
    CHUNKED(HEAD + "Transfer-Encoding: chunked\r\n\r\n", "6\r\n" + BODY + "\r\n0\r\n\r\n"),
    /** The body ends with the connection, so only a cut in the head can be noticed. */
    CLOSE(HEAD + "\r\n", "");

    private final byte[] bytes;

    Framing(String head, String body) {
      bytes = (head + body).getBytes(StandardCharsets.ISO_8859_1);
    }
  }

  private final RelayFixture fixture =
      new RelayFixture(
          RelayFixture.DRAIN_MILLIS,
          List.of(
              ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
              RelayFixture.route("unsafe", "/", SERVICE, RouteKind.UNSAFE, TIMEOUT_MILLIS)));
  private final int port = fixture.port();
  private ServerSocket target;
  private volatile byte[] answer = new byte[0];
  private volatile boolean resets;

  @BeforeEach
  void start() throws IOException {
    target = new ServerSocket(0, 50, InetAddress.getByName(HOST));
    Thread thread = new Thread(this::serve, "cutting-target");
    thread.setDaemon(true);
    thread.start();
    OwnershipView.Target view =
        new OwnershipView.Target(
            TargetId.of("t"),
            SERVICE,
            new Address(HOST, target.getLocalPort()),
            AvailabilityZone.of("z"),
            20,
            TargetPhase.READY,
            1);
    fixture.updateOwnership(new OwnershipView(List.of(view), List.of()));
  }

  @AfterEach
  void stop() throws Exception {
    fixture.close();
    target.close();
  }

  private void serve() {
    try {
      while (true) {
        try (Socket socket = target.accept()) {
          readHead(socket.getInputStream());
          socket.getOutputStream().write(answer);
          socket.getOutputStream().flush();
          if (resets) {
            socket.setSoLinger(true, 0);
          }
        }
      }
    } catch (IOException e) {
      // The server socket is closed at the end of a test.
    }
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    int next = in.read();
    while (next >= 0 && head.indexOf("\r\n\r\n") < 0) {
      head.append((char) next);
      next = head.indexOf("\r\n\r\n") < 0 ? in.read() : -1;
    }
    return head.toString();
  }

  /** Returns the head of the response of the relay, or an empty string when there is none. */
  private String request(String version) throws IOException {
    try (Socket socket = new Socket(HOST, port)) {
      String text = "POST / HTTP/" + version + "\r\nHost: 127.0.0.1\r\nid: r\r\n\r\n";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return readHead(socket.getInputStream());
    }
  }

  /** Guards against a response whose status is no HTTP status and that clients get as an answer. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "20", "0200", "2000", "600", "999", "+20", "-20", "2 0"})
  void responseWithAnInvalidStatusIsNotForwarded(String status) throws IOException {
    String text = HEAD.replace("200", status) + "Content-Length: 6\r\n\r\n" + BODY;
    answer = text.getBytes(StandardCharsets.ISO_8859_1);
    assertThat(request("1.1")).startsWith("HTTP/1.1 502 ").doesNotContain("signature");
  }

  /**
   * Guards against a success for a response that breaks off in its status line, its headers or its
   * body, and against a refusal that says that its request was not run.
   */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void responseThatBreaksOffIsNeverASuccess(Framing framing) throws IOException {
    for (boolean reset : new boolean[] {false, true}) {
      resets = reset;
      for (int length = 0; length < framing.bytes.length; length++) {
        answer = Arrays.copyOf(framing.bytes, length);
        String version = length % 2 == 0 ? "1.1" : "1.0";
        assertThat(request(version))
            .as("%s cut after %d bytes, reset %s, to HTTP/%s", framing, length, reset, version)
            .startsWith("HTTP/1.1 502 ");
      }
    }
  }

  /** Guards against a test that fails for every response. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void completeResponseIsForwarded(Framing framing) throws IOException {
    answer = framing.bytes;
    assertThat(request("1.1")).startsWith("HTTP/1.1 20");
  }
}
