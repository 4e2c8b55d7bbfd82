package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the relay against peers that send bytes without end until the relay closes. */
@Timeout(60)
class EndlessBytesTest {
  private static final ServiceName SERVICE = ServiceName.of("any");

  /** Not reached by a response that the relay ends because of its bytes. */
  private static final long LONG_TIMEOUT_MILLIS = 30_000;

  private static final long SHORT_TIMEOUT_MILLIS = 800;

  /** Memory for network buffers that the deploy file grants to an entry. */
  private static final long DIRECT_MEMORY_BYTES = 32L * 1024 * 1024;

  /** Largest socket buffers of sender and receiver; bytes in them use no memory of the relay. */
  private static final long SOCKET_BUFFER_BYTES = 12L * 1024 * 1024;

  private static final long SENT_BYTES_LIMIT = 4 * DIRECT_MEMORY_BYTES;

  private static final String UNNAMED_HEAD = "HTTP/1.1 200 OK\r\nsignature: s\r\n";
  private static final String HEAD = UNNAMED_HEAD + "id: " + EndlessTarget.REQUEST_ID + "\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String ANSWER = HEAD + "Content-Length: 6\r\n\r\nanswer";

  /** Part of a response that has no end. */
  private enum Endless {
    STATUS_LINE("HTTP/1.1 200 ", "a"),
    BLANK_LINES("", "\r\n"),
    NO_LINE_END("", "a"),
    HEADERS(HEAD, "x-header: value\r\n"),
    HEADER_VALUE(HEAD + "x-header: ", "a"),
    CHUNK_SIZE(CHUNKED, "0"),
    CHUNK_EXTENSION(CHUNKED + "5;", "a"),
    CHUNKS_OF_ONE_BYTE(CHUNKED, "1\r\na\r\n"),
    CHUNKS(CHUNKED, "1000\r\n" + "a".repeat(0x1000) + "\r\n"),
    TRAILERS(CHUNKED + "0\r\n", "x-trailer: value\r\n"),
    INTERIM_RESPONSES("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    OTHER_RESPONSES("", UNNAMED_HEAD + "id: other\r\nContent-Length: 0\r\n\r\n"),
    BODY_WITHOUT_LENGTH(HEAD + "\r\n", "a"),
    BODY_WITH_LENGTH(HEAD + "Content-Length: 9000000000000000000\r\n\r\n", "a"),
    BODY_WITH_LARGE_INT_LENGTH(HEAD + "Content-Length: 2147483647\r\n\r\n", "a"),
    OTHER_PROTOCOL("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "a");

    private final String beginning;
    private final String repeated;

    Endless(String beginning, String repeated) {
      this.beginning = beginning;
      this.repeated = repeated;
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<AutoCloseable> targets = new ArrayList<>();
  private final RelayFixture fixture =
      new RelayFixture(
          RelayFixture.DRAIN_MILLIS,
          List.of(
              ConfigurationItem.of(new ServicePolicy(SERVICE, false, 40), "{}"),
              RelayFixture.route("safe", SERVICE, RouteKind.SAFE, LONG_TIMEOUT_MILLIS),
              RelayFixture.route("unsafe", SERVICE, RouteKind.UNSAFE, LONG_TIMEOUT_MILLIS),
              RelayFixture.route("brief", SERVICE, RouteKind.UNSAFE, SHORT_TIMEOUT_MILLIS)));
  private final Relay relay = fixture.relay();
  private final int port = fixture.port();

  @AfterEach
  void stop() throws Exception {
    fixture.close();
    for (AutoCloseable target : targets) {
      target.close();
    }
  }

  private EndlessTarget endless(String id, String beginning, String repeated, long pauseMillis) {
    EndlessTarget target = new EndlessTarget(id, SERVICE, beginning, repeated, pauseMillis);
    targets.add(target);
    return target;
  }

  private ScriptedTarget scripted(String id) {
    ScriptedTarget target = new ScriptedTarget(id, SERVICE, ScriptedTarget.Step.ANSWER);
    targets.add(target);
    return target;
  }

  private void publish(OwnershipView.Target... views) {
    fixture.updateOwnership(new OwnershipView(List.of(views), List.of()));
  }

  private CompletableFuture<HttpResponse<String>> send(String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("id", "r-" + path.hashCode())
            .timeout(Duration.ofSeconds(50))
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Guards against a response without end that uses up the memory or holds its request. */
  @ParameterizedTest
  @EnumSource
  void endlessResponseEndsItsRequestAndConnection(Endless part) throws Exception {
    EndlessTarget target = endless("a", part.beginning, part.repeated, 0);
    publish(target.view());
    assertThat(send("/unsafe/1").get().statusCode()).isEqualTo(502);
    assertThat(target.awaitClose(10)).isTrue();
    assertThat(target.requests()).isEqualTo(1);
    assertThat(target.sentBytes()).isLessThan(DIRECT_MEMORY_BYTES + SOCKET_BUFFER_BYTES);
  }

  /** Guards against an idempotent request that fails because one target sends bytes without end. */
  @ParameterizedTest
  @EnumSource
  void idempotentRequestIsSentToAnotherTarget(Endless part) throws Exception {
    EndlessTarget faulty = endless("a", part.beginning, part.repeated, 0);
    publish(faulty.view(), scripted("b").view());
    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = send("/safe/" + i).get();
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("answer");
    }
  }

  /** Guards against endless bodies that together use more memory than an entry has. */
  @Test
  void concurrentEndlessBodiesStayWithinTheMemoryOfAnEntry() throws Exception {
    int count = 6;
    EndlessTarget target = endless("a", HEAD + "\r\n", "a", 0);
    publish(target.view());
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      responses.add(send("/unsafe/" + i));
    }
    for (CompletableFuture<HttpResponse<String>> response : responses) {
      assertThat(response.get().statusCode()).isEqualTo(502);
    }
    assertThat(target.sentBytes())
        .isLessThan(DIRECT_MEMORY_BYTES * 2 + count * SOCKET_BUFFER_BYTES);
  }

  /** Guards against a slow endless response that outlasts the deadline of its request. */
  @Test
  void deadlineEndsAResponseThatStillReceivesBytes() throws Exception {
    EndlessTarget target = endless("a", HEAD + "\r\n", "a", 5);
    publish(target.view());
    assertThat(send("/brief/1").get().statusCode()).isEqualTo(504);
    assertThat(target.awaitClose(10)).isTrue();
  }

  /** Guards against a target that still works for a client that has left. */
  @Test
  void departureOfTheClientEndsAResponseThatStillReceivesBytes() throws Exception {
    EndlessTarget target = endless("a", HEAD + "\r\n", "a", 5);
    publish(target.view());
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket
          .getOutputStream()
          .write(
              "GET /safe/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nid: r\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      while (target.sentBytes() < 10) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    assertThat(target.awaitClose(10)).isTrue();
  }

  /** Guards against an idle connection that receives bytes without end and is never closed. */
  @ParameterizedTest
  @EnumSource
  void endlessBytesOnAnIdleConnectionCloseIt(Endless part) throws Exception {
    EndlessTarget target = endless("a", ANSWER, part.beginning + part.repeated, 20);
    publish(target.view());
    assertThat(send("/unsafe/1").get().body()).isEqualTo("answer");
    assertThat(target.awaitClose(10)).isTrue();
    assertThat(send("/unsafe/2").get().body()).isEqualTo("answer");
  }

  /** Guards against a response that is lost because of a header that is no usable number. */
  @Test
  void responseWithExcessiveKeepAliveTimeoutIsForwarded() throws Exception {
    String timeout = "Keep-Alive: timeout=99999999999999999999\r\n";
    EndlessTarget target =
        endless("a", HEAD + timeout + "Content-Length: 6\r\n\r\nanswer", "a", 1_000);
    publish(target.view());
    assertThat(send("/brief/1").get().body()).isEqualTo("answer");
  }

  private long sendUntilClosed(String head, String part) throws IOException {
    byte[] block = part.repeat(64).getBytes(StandardCharsets.ISO_8859_1);
    long sentBytes = 0;
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      while (sentBytes < SENT_BYTES_LIMIT) {
        socket.getOutputStream().write(block);
        sentBytes += block.length;
      }
    } catch (IOException e) {
      // The relay closed the connection.
    }
    return sentBytes;
  }

  /** Guards against a client that sends a request without end and is read on for ever. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: chunked\r\n\r\n",
        "Content-Length: 9000000000000000000\r\n\r\n",
        "x-header: "
      })
  void endlessRequestClosesItsConnection(String header) throws Exception {
    publish(scripted("a").view());
    String part =
        header.contains("chunked") ? "1000\r\n" + "a".repeat(0x1000) + "\r\n" : "a".repeat(0x1000);
    long sentBytes =
        sendUntilClosed("POST /unsafe/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nid: r\r\n" + header, part);
    assertThat(sentBytes).isLessThan(DIRECT_MEMORY_BYTES + SOCKET_BUFFER_BYTES);
    assertThat(send("/unsafe/2").get().statusCode()).isEqualTo(200);
  }
}
