package io.coltsfootwheel.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

@Timeout(30)
class CallerServerTest {
  private static final TargetId TARGET = TargetId.of("t1");
  private static final long PART_BYTES = 16 * 1024;
  private static final List<Header> HELLO_HEADERS =
      List.of(new Header("X-T", "1"), new Header("Content-Length", "5"));
  private static final CallerServerSettings SETTINGS =
      new CallerServerSettings("127.0.0.1", 0, 1000, 2000, 500, 2, 60_000, 400, 50_000);

  private final BlockingQueue<CallerRequest> handledRequests = new LinkedBlockingQueue<>();
  private final BlockingQueue<CallerRequest> cancelledRequests = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> announcedChanges = new LinkedBlockingQueue<>();
  private CallerServer server;
  private Address address;

  @AfterEach
  void closeServer() {
    server.close();
  }

  /** Guards against losing request fields or reading them from the wrong header. */
  @Test
  void forwardsRequestFields() throws Exception {
    startServer(request -> Mono.just(relayed(HELLO_HEADERS, "hello")));
    String response =
        exchange(
            "POST /s/card-ledger/a/b?c=%20d HTTP/1.1\r\nHost: h\r\nColtsfootwheel-Key: card-1\r\n"
                + "coltsfootwheel-customer: salon\r\nIdempotency-Key: id\r\nX-A: 1\r\n"
                + "Coltsfootwheel-Deadline-Millis: 700\r\nColtsfootwheel-Fence: 99\r\n"
                + "Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: 3\r\n"
                + "Content-Length: 5\r\n\r\ndebit");
    assertThat(response)
        .startsWith("HTTP/1.1 200 OK\r\n")
        .endsWith("\r\n\r\nhello")
        .containsIgnoringCase("Coltsfootwheel-Target: t1")
        .containsIgnoringCase("Coltsfootwheel-Stamp: stamp1")
        .contains("X-T: 1");
    CallerRequest request = handledRequests.remove();
    assertThat(request.service().value()).isEqualTo("card-ledger");
    assertThat(request.uri()).isEqualTo("/a/b?c=%20d");
    assertThat(request.key()).contains("card-1");
    assertThat(request.customer().orElseThrow().value()).isEqualTo("salon");
    assertThat(request.identity()).contains("id");
    assertThat(request.deadlineMillis()).isEqualTo(700);
    assertThat(request.idempotent()).isFalse();
    assertThat(request.headers()).containsExactly(new Header("X-A", "1"));
    assertThat(request.body()).asString().isEqualTo("debit");
    assertThat(cancelledRequests).isEmpty();
  }

  /** Guards against retrying a non-idempotent request as if it were idempotent. */
  @ParameterizedTest
  @CsvSource({
    "GET,,true",
    "HEAD,,true",
    "OPTIONS,,true",
    "PUT,,true",
    "DELETE,,true",
    "POST,,false",
    "PATCH,,false",
    "POST,true,true",
    "GET,false,false"
  })
  void determinesIdempotence(String method, String header, boolean expected) throws Exception {
    startServer(request -> Mono.just(relayed(List.of(), "")));
    String headerLine = header == null ? "" : "Coltsfootwheel-Idempotent: " + header + "\r\n";
    exchange(method + " /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headerLine + "\r\n");
    assertThat(handledRequests.remove().idempotent()).isEqualTo(expected);
  }

  /** Guards against invalid requests reaching a target, and against unreported errors. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST /s/x|Content-Length: 1001|413|body-too-large",
        "POST /s/x|Transfer-Encoding: chunked|413|body-too-large",
        "GET /s/x|X-A: 2500 bytes|431|request headers are too large",
        "GET /s/600 bytes||414|request line is too long",
        "GET /s/a%20b||404|unknown-service",
        "GET /other||404|not-found",
        "GET /s/x/%zz||400|path has an invalid character",
        "GET /s/x|Bad Header: 1|400|not valid HTTP",
        "GET /s/x|Coltsfootwheel-Key: 257 bytes;Idempotency-Key: 129 bytes|400"
            + "|Coltsfootwheel-Key must have 1 to 256 bytes; Idempotency-Key must have",
        "GET /s/x|Coltsfootwheel-Key: a;coltsfootwheel-key: b;Coltsfootwheel-Customer: a b;"
            + "Coltsfootwheel-Idempotent: yes;Coltsfootwheel-Deadline-Millis: 50001|400"
            + "|Coltsfootwheel-Key is given more than once; Coltsfootwheel-Customer must be a"
            + " customer name of 1 to 63 characters; Coltsfootwheel-Idempotent must be true or"
            + " false; Coltsfootwheel-Deadline-Millis must be 1 to 50000"
      })
  void rejectsInvalidRequestWithoutHandling(String line, String headers, int status, String text)
      throws Exception {
    startServer(request -> Mono.just(relayed(List.of(), "")));
    String headerLines =
        headers == null ? "" : expandLengths(headers).replace(";", "\r\n") + "\r\n";
    String body = line.startsWith("POST") ? "3e9\r\n" + "x".repeat(1001) + "\r\n" : "";
    String response =
        exchange(
            expandLengths(line)
                + " HTTP/1.1\r\nHost: h\r\n"
                + headerLines
                + "Connection: close\r\n\r\n"
                + body);
    assertThat(response)
        .startsWith("HTTP/1.1 " + status + " ")
        .contains(text, "\"outcome\":\"not-run\"", "\"remedy\":")
        .containsIgnoringCase("Coltsfootwheel-Outcome: not-run");
    assertThat(handledRequests).isEmpty();
  }

  /** Guards against an error response without its outcome or retry delay. */
  @ParameterizedTest
  @CsvSource({"OVERLOADED,1500,503,not-run,2", "TARGET_FAILED,0,502,unknown,"})
  void writesErrorResponse(
      ErrorKind kind, long retryMillis, int status, String outcome, String seconds)
      throws Exception {
    startServer(
        request -> Mono.just(new CallerResponse.Error(kind, kind.outcome(), "why", retryMillis)));
    assertThat(get("/s/x"))
        .startsWith("HTTP/1.1 " + status)
        .containsIgnoringCase("Coltsfootwheel-Outcome: " + outcome)
        .contains("{\"code\":\"" + kind.code() + "\",\"outcome\":\"" + outcome)
        .satisfies(
            text ->
                assertThat(text.contains("Retry-After: " + seconds)).isEqualTo(seconds != null));
  }

  /** Guards against leaving the caller without a response when the handler fails. */
  @ParameterizedTest
  @CsvSource({"true,404,unknown-service", "false,500,invariant-violated"})
  void writesErrorResponseForHandlerFailure(boolean knownError, int status, String code)
      throws Exception {
    startServer(
        request ->
            Mono.error(
                knownError
                    ? ColtsfootwheelException.of(ErrorKind.UNKNOWN_SERVICE, "x")
                    : new IllegalStateException("test")));
    assertThat(get("/s/x")).startsWith("HTTP/1.1 " + status).contains("\"code\":\"" + code);
  }

  /** Guards against a truncated response that appears complete to the caller. */
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 100", "Content-Length: 100000", "X-None: 1"})
  void truncatesResponseWhenBodyFails(String header) throws Exception {
    String[] nameAndValue = header.split(": ");
    startServer(
        request ->
            Mono.just(
                new CallerResponse.Relayed(
                    TARGET,
                    200,
                    List.of(new Header(nameAndValue[0], nameAndValue[1])),
                    Flux.concat(
                        Flux.just(buffer("part")), Flux.error(new IOException("broken"))))));
    String response = get("/s/x");
    assertThat(response).doesNotContain("\r\n0\r\n");
    assertThat(response.length()).isLessThan(100 + response.indexOf("\r\n\r\n") + 4);
  }

  /**
   * Guards against continued work for a disconnected caller, and against repeated notifications.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void reportsDisconnectOnce(boolean afterHead) throws Exception {
    CompletableFuture<Void> bodyCancelled = new CompletableFuture<>();
    Flux<ByteBuf> body =
        Flux.concat(Flux.just(buffer("part")), Flux.<ByteBuf>never())
            .doOnCancel(() -> bodyCancelled.complete(null));
    startServer(
        request ->
            afterHead
                ? Mono.just(new CallerResponse.Relayed(TARGET, 200, List.of(), body))
                : Mono.never());
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.getOutputStream().write("GET /s/x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
      CallerRequest request = handledRequests.poll(10, TimeUnit.SECONDS);
      assertThat(request).isNotNull();
      if (afterHead) {
        assertThat(ScriptedTargetServer.readHead(socket.getInputStream()))
            .startsWith("HTTP/1.1 200");
      }
      assertThat(server.inFlight()).isEqualTo(1);
    }
    assertThat(cancelledRequests.poll(10, TimeUnit.SECONDS)).isNotNull();
    if (afterHead) {
      bodyCancelled.get(10, TimeUnit.SECONDS);
    }
    while (server.inFlight() > 0) {
      Thread.onSpinWait();
    }
    assertThat(cancelledRequests).isEmpty();
  }

  /**
   * Guards against exceeding the limit of requests in flight, and against accepting new requests
   * during a shutdown.
   */
  @Test
  void limitsRequestsInFlight() throws Exception {
    startServer(request -> Mono.never());
    try (Socket firstSocket = openAndSend("/s/x");
        Socket secondSocket = openAndSend("/s/x")) {
      handledRequests.poll(10, TimeUnit.SECONDS);
      handledRequests.poll(10, TimeUnit.SECONDS);
      assertThat(get("/s/x")).startsWith("HTTP/1.1 503").contains("overloaded", "Retry-After: 1");
      server.refuseNewRequests(true);
      assertThat(get("/s/x")).startsWith("HTTP/1.1 503").contains("shutting-down");
      assertThat(firstSocket.isConnected() && secondSocket.isConnected()).isTrue();
    }
  }

  /** Guards against unbounded buffering in the router for a caller that reads slowly. */
  @Test
  void slowReaderStopsBodySource() throws Exception {
    AtomicInteger producedParts = new AtomicInteger();
    int parts = 4000;
    Flux<ByteBuf> body =
        Flux.range(0, parts)
            .map(
                i -> {
                  producedParts.incrementAndGet();
                  return Unpooled.wrappedBuffer(new byte[(int) PART_BYTES]);
                });
    Header length = new Header("Content-Length", Long.toString(parts * PART_BYTES));
    startServer(
        request -> Mono.just(new CallerResponse.Relayed(TARGET, 200, List.of(length), body)));
    try (Socket socket = openAndSend("/s/x")) {
      ScriptedTargetServer.readHead(socket.getInputStream());
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[1 << 16];
      long bytesRead = 0;
      while (bytesRead < parts * PART_BYTES) {
        // The socket buffers of both sides and the prefetch of the server are below this bound.
        assertThat(producedParts.get() * PART_BYTES - bytesRead).isLessThan(24_000_000);
        bytesRead += in.read(buffer);
      }
      assertThat(producedParts.get()).isEqualTo(parts);
    }
  }

  /**
   * Guards against HEAD, 204 and 304 responses with a body, which corrupt the caller's connection.
   */
  @ParameterizedTest
  @CsvSource({"HEAD,200", "GET,204", "GET,304"})
  void writesResponseWithoutBody(String method, int status) throws Exception {
    startServer(
        request ->
            Mono.just(
                new CallerResponse.Relayed(
                    TARGET,
                    status,
                    status == 200 ? List.of(new Header("Content-Length", "5")) : List.of(),
                    Flux.empty())));
    String response = exchange(method + " /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 " + status).endsWith("\r\n\r\n");
    assertThat(response.contains("ontent-length: 5") || response.contains("ontent-Length: 5"))
        .isEqualTo(status == 200);
  }

  /** Guards against accepting an invalid announcement or reporting only some of its errors. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST|/v1/targets|{'id':'t1','service':'s','address':'127.0.0.1:80','zone':'z','slots':2,"
            + "'connections':9,'checksFences':true,'incarnation':'i'}|200|announce t1",
        "POST|/v1/targets|{'id':'t 1','service':7,'address':'nowhere','slots':0,"
            + "'connections':1.5,'checksFences':'yes','keepsIdentities':1,'incarnation':' '}|400"
            + "|id,service,address,zone,slots,connections,checksFences,keepsIdentities,incarnation",
        "POST|/v1/targets|[1]|400|JSON object",
        "POST|/v1/targets|{|400|JSON object",
        "POST|/v1/targets||400|JSON object",
        "POST|/v1/targets/t1/drain||200|drain t1",
        "DELETE|/v1/targets/t1||200|remove t1",
        "DELETE|/v1/targets/a%20b||400|a%20b",
        "GET|/v1/targets||404|no endpoint",
      })
  void handlesAnnouncements(
      String method, String path, String json, int status, String expectedText) throws Exception {
    startServer(request -> Mono.never());
    String body = json == null ? "" : json.replace('\'', '"');
    String response =
        exchange(
            method
                + " "
                + path
                + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body);
    assertThat(response).startsWith("HTTP/1.1 " + status);
    assertThat(announcedChanges)
        .containsExactly(status == 200 ? new String[] {expectedText} : new String[0]);
    if (status != 200) {
      assertThat(response).contains(expectedText.split(","));
    }
  }

  private void startServer(Function<CallerRequest, Mono<CallerResponse>> respond) {
    RequestHandler handler =
        new RequestHandler() {
          @Override
          public Mono<CallerResponse> handle(CallerRequest request) {
            handledRequests.add(request);
            return respond.apply(request);
          }

          @Override
          public void cancelled(CallerRequest request) {
            cancelledRequests.add(request);
          }
        };
    TargetAnnouncements announcements =
        new TargetAnnouncements() {
          @Override
          public Mono<Void> announce(TargetSpec spec) {
            return Mono.fromRunnable(() -> announcedChanges.add("announce " + spec.id()));
          }

          @Override
          public Mono<Void> drain(TargetId target) {
            return Mono.fromRunnable(() -> announcedChanges.add("drain " + target));
          }

          @Override
          public Mono<Void> remove(TargetId target) {
            return Mono.fromRunnable(() -> announcedChanges.add("remove " + target));
          }
        };
    server = CallerServer.of(SETTINGS, handler, announcements, () -> "stamp1");
    address = server.start();
  }

  private Socket openAndSend(String path) throws IOException {
    Socket socket = new Socket(address.host(), address.port());
    socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes());
    return socket;
  }

  private String get(String path) throws IOException {
    return exchange("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  /** Sends a request and reads until the connection is closed or reset. */
  private String exchange(String request) throws IOException {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder text = new StringBuilder();
      byte[] buffer = new byte[4096];
      try {
        int bytesRead = socket.getInputStream().read(buffer);
        while (bytesRead >= 0) {
          text.append(new String(buffer, 0, bytesRead, StandardCharsets.ISO_8859_1));
          bytesRead = socket.getInputStream().read(buffer);
        }
      } catch (IOException e) {
        // The server reset the connection; the text received so far is the result.
      }
      return text.toString();
    }
  }

  private static String expandLengths(String text) {
    return text.replace("2500 bytes", "x".repeat(2500))
        .replace("600 bytes", "x".repeat(600))
        .replace("257 bytes", "x".repeat(257))
        .replace("129 bytes", "x".repeat(129));
  }

  private static CallerResponse relayed(List<Header> headers, String body) {
    return new CallerResponse.Relayed(TARGET, 200, headers, Flux.just(buffer(body)));
  }

  private static ByteBuf buffer(String text) {
    return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
  }
}
