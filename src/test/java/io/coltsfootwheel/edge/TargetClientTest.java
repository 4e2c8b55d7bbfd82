package io.coltsfootwheel.edge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

@Timeout(30)
class TargetClientTest {
  private static final TargetId TARGET = TargetId.of("t1");

  /** Long enough for a stand-in target on a busy machine; one case waits until it has passed. */
  private static final long CONTROL_TIMEOUT_MILLIS = 5_000;

  private static final String NOT_RUN = "Coltsfootwheel-Outcome: not-run\r\n";
  private static final String REQUEST_ID = "Coltsfootwheel-Request-Id: ";

  /** Largest socket buffers of sender and receiver; bytes in them use no memory of the client. */
  private static final long SOCKET_BUFFER_BYTES = 12L * 1024 * 1024;

  private final TargetClient client = TargetClient.create(CONTROL_TIMEOUT_MILLIS);

  /** Loads the classes of the client, because the first call can otherwise exceed its timeout. */
  @BeforeAll
  static void warmUp() throws Exception {
    try (ScriptedTargetServer server = startServer(ScriptedTargetServer.response(200, "", ""));
        TargetClient warmUpClient = TargetClient.create(CONTROL_TIMEOUT_MILLIS)) {
      warmUpClient.open(TARGET, server.address(), 1);
      while (!warmUpClient.probe(TARGET).block() || !warmUpClient.cancel(TARGET, "r").block()) {
        Thread.onSpinWait();
      }
    }
  }

  @AfterEach
  void close() {
    client.close();
  }

  /** Guards against losing headers that the target needs, and against not reusing connections. */
  @ParameterizedTest
  @CsvSource({"GET,''", "POST,''", "POST,debit", "DELETE,''", "PUT,x"})
  void sendsRequestAndReusesConnection(String method, String body) throws Exception {
    try (ScriptedTargetServer server =
        startServer(ScriptedTargetServer.response(200, "X-A: 1\r\nKeep-Alive: 5\r\n", "hello"))) {
      client.open(TARGET, server.address(), 1);
      for (int i = 0; i < 3; i++) {
        TargetResult.Responded responded =
            (TargetResult.Responded) client.send(TARGET, request(method, body)).block();
        assertThat(responded.status()).isEqualTo(200);
        assertThat(responded.headers()).contains(new Header("X-A", "1"));
        assertThat(responded.headers()).extracting(Header::name).doesNotContain("Keep-Alive");
        assertThat(readText(responded.body())).isEqualTo("hello");
      }
      assertThat(server.connectionCount()).isEqualTo(1);
      assertThat(server.receivedHeads().get(0).toLowerCase())
          .startsWith(method.toLowerCase() + " /a?b=c http/1.1\r\n")
          .contains("coltsfootwheel-fence: 7\r\n", "coltsfootwheel-hash-slot: 3\r\n")
          .contains("coltsfootwheel-deadline-millis: 500\r\n")
          .contains("coltsfootwheel-request-id: r1\r\n", "idempotency-key: id1\r\n")
          .contains("x-caller: c\r\n")
          .doesNotContain("transfer-encoding");
    }
  }

  /** Guards against changing the path or interpreting it as the address of another server. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "//other.invalid/x",
        "/a/../b",
        "/a//b",
        "/?q",
        "/a%2Fb?x=%20&y=http://z.invalid/"
      })
  void keepsRequestPath(String uri) throws Exception {
    try (ScriptedTargetServer server = startServer(ScriptedTargetServer.response(200, "", ""))) {
      client.open(TARGET, server.address(), 1);
      TargetRequest request =
          new TargetRequest("r", 1, -1, 100, Optional.empty(), "GET", uri, List.of(), new byte[0]);
      assertThat(client.send(TARGET, request).block()).isInstanceOf(TargetResult.Responded.class);
      assertThat(server.receivedHeads().get(0)).startsWith("GET " + uri + " HTTP/1.1\r\n");
    }
  }

  /** Guards against an error signal or an unknown outcome for a request that cannot be sent. */
  @ParameterizedTest
  @CsvSource({"G T,/", "GET,/a b"})
  void invalidRequestIsNotSent(String method, String uri) throws Exception {
    try (ScriptedTargetServer server = startServer(ScriptedTargetServer.response(200, "", ""))) {
      client.open(TARGET, server.address(), 1);
      TargetRequest request =
          new TargetRequest("r", 1, -1, 100, Optional.empty(), method, uri, List.of(), new byte[0]);
      assertThat(client.send(TARGET, request).block()).isInstanceOf(TargetResult.NotSent.class);
      assertThat(server.receivedHeads()).isEmpty();
    }
  }

  /** Guards against reporting a refusal as an unknown outcome, or the reverse. */
  @ParameterizedTest
  @CsvSource({
    "412,'',RefusedFence[]",
    "503,'Retry-After: 2;',RefusedShedding[retryAfterMillis=2000]",
    "503,'Retry-After: 0.5;',RefusedShedding[retryAfterMillis=500]",
    "503,'Retry-After: 9223372036854775807;',RefusedShedding[retryAfterMillis=86400000]",
    "503,'Retry-After: -2;',RefusedShedding[retryAfterMillis=0]",
    "503,'Retry-After: soon;',RefusedShedding[retryAfterMillis=0]",
    "503,'',RefusedShedding[retryAfterMillis=0]"
  })
  void recognizesRefusals(int status, String headers, String expected) throws Exception {
    String allHeaders = headers.replace(";", "\r\n") + NOT_RUN + REQUEST_ID + "r1\r\n";
    try (ScriptedTargetServer server =
        startServer(ScriptedTargetServer.response(status, allHeaders, "no"))) {
      client.open(TARGET, server.address(), 1);
      for (int i = 0; i < 3; i++) {
        assertThat(client.send(TARGET, request("POST", "x")).block()).hasToString(expected);
      }
      assertThat(server.connectionCount()).isEqualTo(1);
    }
  }

  /**
   * Guards against a refusal of an earlier request that is taken as a refusal of this one, which
   * the target executes.
   */
  @ParameterizedTest
  @CsvSource({"412,''", "503,''", "412,r0", "503,r0"})
  void refusalThatDoesNotNameTheRequestIsNotBelieved(int status, String id) throws Exception {
    String headers = NOT_RUN + (id.isEmpty() ? "" : REQUEST_ID + id + "\r\n");
    try (ScriptedTargetServer server =
        startServer(ScriptedTargetServer.response(status, headers, ""))) {
      client.open(TARGET, server.address(), 1);
      for (int i = 0; i < 2; i++) {
        assertThat(client.send(TARGET, request("POST", "x")).block())
            .isInstanceOf(TargetResult.Broken.class);
      }
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  /** Guards against a response whose status is no HTTP status and that callers get as an answer. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600", "999", "2000"})
  void responseWithAnInvalidStatusIsNotRelayed(String status) throws Exception {
    String text = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok";
    try (ScriptedTargetServer server = startServer(text.getBytes(StandardCharsets.ISO_8859_1))) {
      client.open(TARGET, server.address(), 1);
      for (int i = 0; i < 2; i++) {
        assertThat(client.send(TARGET, request("POST", "x")).block())
            .isInstanceOf(TargetResult.Broken.class);
      }
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  /** Guards against a response to an earlier request that is relayed as the response to this. */
  @Test
  void responseToAnotherRequestIsNotRelayed() throws Exception {
    try (ScriptedTargetServer server =
        startServer(ScriptedTargetServer.response(200, REQUEST_ID + "r0\r\n", "other"))) {
      client.open(TARGET, server.address(), 1);
      assertThat(client.send(TARGET, request("POST", "x")).block())
          .isInstanceOf(TargetResult.Broken.class);
    }
  }

  /**
   * Guards against bytes that a target sends between two requests and that become a part of the
   * next response: the beginning of a refusal makes a refusal of a successful response.
   */
  @Test
  void connectionThatReceivesBytesWhileIdleIsNotReused() throws Exception {
    AtomicBoolean isFirst = new AtomicBoolean(true);
    CountDownLatch idle = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          out.write(ScriptedTargetServer.response(200, REQUEST_ID + "r1\r\n", "ok"));
          if (isFirst.getAndSet(false)) {
            awaitUninterrupted(idle);
            out.write(("HTTP/1.1 503 X\r\n" + NOT_RUN + "Padding: ").getBytes());
            written.countDown();
          }
          return true;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      readText(((TargetResult.Responded) client.send(TARGET, request("POST", "x")).block()).body());
      idle.countDown();
      written.await();
      while (server.openConnections() > 0) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      assertThat(client.send(TARGET, request("POST", "x")).block())
          .isInstanceOf(TargetResult.Responded.class);
      assertThat(server.connectionCount()).isEqualTo(2);
    }
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Guards against treating an error response of the target itself as a refusal, which is retried.
   */
  @ParameterizedTest
  @CsvSource({"412,X-B: 1", "503,X-B: 1", "503,Coltsfootwheel-Outcome: unknown"})
  void relaysOtherErrorResponses(int status, String header) throws Exception {
    try (ScriptedTargetServer server =
        startServer(ScriptedTargetServer.response(status, header + "\r\n", "no"))) {
      client.open(TARGET, server.address(), 1);
      TargetResult result = client.send(TARGET, request("POST", "x")).block();
      assertThat(result).isInstanceOf(TargetResult.Responded.class);
      assertThat(readText(((TargetResult.Responded) result).body())).isEqualTo("no");
    }
  }

  /** Guards against sending a request twice or reporting it as not run after it was written. */
  @ParameterizedTest
  @CsvSource({"POST,0", "GET,0", "POST,1", "GET,1", "PUT,1"})
  void neverRetriesRequest(String method, int answeredRequests) throws Exception {
    int[] requestCount = new int[1];
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          if (requestCount[0]++ < answeredRequests) {
            out.write(ScriptedTargetServer.response(200, "", "ok"));
            return true;
          }
          socket.setSoLinger(true, 0);
          return false;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      for (int i = 0; i < answeredRequests; i++) {
        readText(
            ((TargetResult.Responded) client.send(TARGET, request(method, "x")).block()).body());
      }
      assertThat(client.send(TARGET, request(method, "x")).block())
          .isInstanceOf(TargetResult.Broken.class);
      assertThat(server.receivedHeads()).hasSize(answeredRequests + 1);
    }
  }

  /** Guards against an unknown outcome when no byte of the request was written. */
  @Test
  void refusedConnectionIsNotSent() throws Exception {
    int port;
    try (ServerSocket closed = new ServerSocket(0)) {
      port = closed.getLocalPort();
    }
    client.open(TARGET, new Address("127.0.0.1", port), 1);
    assertThat(client.send(TARGET, request("POST", "x")).block())
        .isInstanceOf(TargetResult.NotSent.class);
    client.close(TARGET);
    assertThat(client.send(TARGET, request("POST", "x")).block())
        .isInstanceOf(TargetResult.NotSent.class);
  }

  /**
   * Guards against a response whose head breaks off and that appears complete, with or without
   * body.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Cut",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\nX-Close: a\r\n"
      })
  void truncatedHeadIsNoResponse(String head) throws Exception {
    byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
    ScriptedTargetServer.Script script =
        (requestHead, out, socket) -> {
          out.write(bytes);
          return false;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      assertThat(client.send(TARGET, request("POST", "")).block())
          .isNotInstanceOf(TargetResult.Responded.class)
          .isNotInstanceOf(TargetResult.NotSent.class);
    }
  }

  /** Guards against a truncated body that appears complete. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 10\r\n\r\nhello",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "Transfer-Encoding: chunked\r\n\r\n9\r\nhello"
      })
  void truncatedBodySignalsError(String headersAndBody) throws Exception {
    byte[] bytes = ("HTTP/1.1 200 OK\r\n" + headersAndBody).getBytes(StandardCharsets.ISO_8859_1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          out.write(bytes);
          return false;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      TargetResult.Responded responded =
          (TargetResult.Responded) client.send(TARGET, request("GET", "")).block();
      assertThatThrownBy(() -> readText(responded.body())).hasMessageContaining("prematurely");
    }
  }

  /**
   * Guards against exceeding the pool size, and against an unknown outcome when the pool is full.
   */
  @Test
  void limitsConnections() throws Exception {
    CountDownLatch requestReceived = new CountDownLatch(1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          requestReceived.countDown();
          return socket.getInputStream().read() >= 0;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      Disposable unansweredRequest = client.send(TARGET, request("POST", "x")).subscribe();
      requestReceived.await();
      assertThat(client.send(TARGET, request("POST", "x")).block())
          .isInstanceOf(TargetResult.NotSent.class);
      assertThat(server.connectionCount()).isEqualTo(1);
      unansweredRequest.dispose();
    }
  }

  /**
   * Guards against requests in flight that are cut because the grant of their target has moved or
   * its connection count has changed, and against a pool that is never closed afterwards.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void retiredPoolCompletesItsRequests(boolean isReplaced) throws Exception {
    CountDownLatch requestReceived = new CountDownLatch(1);
    CountDownLatch retired = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          requestReceived.countDown();
          awaitUninterrupted(retired);
          out.write(ScriptedTargetServer.response(200, "", "done"));
          out.flush();
          if (socket.getInputStream().read() < 0) {
            closed.countDown();
          }
          return false;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      var result = client.send(TARGET, request("POST", "x")).toFuture();
      requestReceived.await();
      if (isReplaced) {
        client.open(TARGET, server.address(), 2);
      } else {
        client.retire(TARGET);
      }
      retired.countDown();
      TargetResult.Responded responded = (TargetResult.Responded) result.get();
      assertThat(readText(responded.body())).isEqualTo("done");
      closed.await();
    }
  }

  /** Guards against requests that wait forever after their target was removed. */
  @Test
  void closingPoolFailsRequests() throws Exception {
    CountDownLatch requestReceived = new CountDownLatch(1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          requestReceived.countDown();
          return socket.getInputStream().read() >= 0;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      var result = client.send(TARGET, request("POST", "x")).toFuture();
      requestReceived.await();
      client.close(TARGET);
      assertThat(result.get()).isInstanceOf(TargetResult.Broken.class);
    }
  }

  /** Guards against releasing slots of older fences after an unusable response. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "200|{\"fence\":7,\"running\":1,\"runningOlder\":2,\"clockMillis\":9}"
            + "|Granted[fence=7, running=1, runningOlder=2, clockMillis=9]",
        "409|{}|Outdated[]",
        "200|{\"fence\":7,\"running\":1}|Failed",
        "200|{\"fence\":7,\"running\":1,\"runningOlder\":2}|Failed",
        "200|nonsense|Failed",
        "500|{}|Failed",
        "0|{}|Failed"
      })
  void parsesGrantResponse(int status, String body, String expected) throws Exception {
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          if (status == 0) {
            return socket.getInputStream().read() >= 0;
          }
          out.write(ScriptedTargetServer.response(status, "", body));
          return true;
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      GrantResult result = client.grant(TARGET, InstanceId.of("i1"), 7, 400).block();
      assertThat(result.toString()).startsWith(expected);
      assertThat(server.receivedHeads().get(0)).startsWith("POST /coltsfootwheel/grant HTTP/1.1");
    }
  }

  /** Guards against probes and cancellations that report success without a 2xx response. */
  @ParameterizedTest
  @CsvSource({"200,true", "204,true", "500,false", "404,false"})
  void reportsProbeAndCancelResult(int status, boolean expected) throws Exception {
    String length = status == 204 ? "" : "Content-Length: 0\r\n";
    try (ScriptedTargetServer server =
        startServer(("HTTP/1.1 " + status + " X\r\n" + length + "\r\n").getBytes())) {
      client.open(TARGET, server.address(), 1);
      assertThat(client.probe(TARGET).block()).isEqualTo(expected);
      assertThat(client.cancel(TARGET, "r1").block()).isEqualTo(expected);
    }
  }

  /** Guards against control calls that buffer a response without end until their timeout. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx: ",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;"
      })
  void endlessResponseEndsAControlCall(String beginning) throws Exception {
    AtomicLong sentBytes = new AtomicLong();
    CountDownLatch closedByClient = new CountDownLatch(1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          byte[] block = "a".repeat(32 * 1024).getBytes(StandardCharsets.ISO_8859_1);
          try {
            out.write(beginning.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
              out.write(block);
              sentBytes.addAndGet(block.length);
            }
          } catch (IOException e) {
            closedByClient.countDown();
            throw e;
          }
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      assertThat(client.grant(TARGET, InstanceId.of("i1"), 7, 400).block())
          .isInstanceOf(GrantResult.Failed.class);
      assertThat(closedByClient.await(10, TimeUnit.SECONDS)).isTrue();
      assertThat(sentBytes.get()).isLessThan(SOCKET_BUFFER_BYTES);
    }
  }

  /** Guards against an idle connection that receives bytes without end and is never closed. */
  @Test
  void endlessBytesOnAnIdleConnectionCloseIt() throws Exception {
    CountDownLatch closedByClient = new CountDownLatch(1);
    ScriptedTargetServer.Script script =
        (head, out, socket) -> {
          out.write(ScriptedTargetServer.response(200, "", "hello"));
          try {
            while (true) {
              TimeUnit.MILLISECONDS.sleep(20);
              out.write('a');
            }
          } catch (IOException e) {
            closedByClient.countDown();
            throw e;
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
          }
        };
    try (ScriptedTargetServer server = new ScriptedTargetServer(script)) {
      client.open(TARGET, server.address(), 1);
      TargetResult.Responded responded =
          (TargetResult.Responded) client.send(TARGET, request("GET", "")).block();
      assertThat(readText(responded.body())).isEqualTo("hello");
      assertThat(closedByClient.await(10, TimeUnit.SECONDS)).isTrue();
    }
  }

  private static ScriptedTargetServer startServer(byte[] response) throws Exception {
    return new ScriptedTargetServer(
        (head, out, socket) -> {
          out.write(response);
          return true;
        });
  }

  private static TargetRequest request(String method, String body) {
    return new TargetRequest(
        "r1",
        7,
        3,
        500,
        Optional.of("id1"),
        method,
        "/a?b=c",
        List.of(new Header("X-Caller", "c")),
        body.getBytes(StandardCharsets.UTF_8));
  }

  private static String readText(Flux<ByteBuf> body) {
    return body.map(TargetClientTest::readAndRelease).reduce("", String::concat).block();
  }

  private static String readAndRelease(ByteBuf part) {
    String text = part.toString(StandardCharsets.UTF_8);
    part.release();
    return text;
  }
}
