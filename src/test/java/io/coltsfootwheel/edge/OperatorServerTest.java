package io.coltsfootwheel.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

@Timeout(30)
class OperatorServerTest {
  private static final List<OperatorRoute> ROUTES =
      List.of(
          OperatorRoute.unauthenticated(
              "/health", request -> Mono.just(new OperatorResponse(200, "ok"))),
          OperatorRoute.of(
              "GET",
              "/v1/owner",
              request ->
                  Mono.just(new OperatorResponse(200, Map.of("key", request.queryValue("key"))))),
          OperatorRoute.of(
              "POST",
              "/v1/targets/{id}/gone",
              request ->
                  Mono.just(
                      new OperatorResponse(
                          200, request.parameters().get("id") + new String(request.body())))),
          OperatorRoute.of(
              "GET",
              "/v1/lists",
              request -> Mono.error(ColtsfootwheelException.of(ErrorKind.CONFLICT, "revision 3"))));

  /**
   * Guards against unauthenticated access, and against error responses without code and remedy or
   * with the remedy both as its own field and inside the detail.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET|/health||200|ok",
        "GET|/v1/owner?service=s&key=a%20b|Bearer secret|200|{\"key\":\"a b\"}",
        "GET|/v1/owner|Bearer secret|200|{\"key\":null}",
        "POST|/v1/targets/t1/gone|bearer secret|200|t1body",
        "GET|/v1/lists|Bearer secret|409|\"detail\":\"revision 3\",\"remedy\":\"read the current lists",
        "GET|/v1/owner||401|unauthorized",
        "GET|/v1/owner|Bearer wrong|401|unauthorized",
        "GET|/v1/owner|Basic secret|401|unauthorized",
        "POST|/v1/targets/t1/gone|Bearer|401|unauthorized",
        "GET|/v1/nothing||401|unauthorized",
        "GET|/v1/nothing|Bearer secret|404|not-found",
        "POST|/health|Bearer secret|404|not-found"
      })
  void authorizesAndRoutesRequests(
      String method, String path, String token, int status, String expectedText) throws Exception {
    try (OperatorServer server = OperatorServer.of("127.0.0.1", 0, "secret", ROUTES)) {
      Address address = server.start();
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://" + address + path))
              .method(
                  method,
                  method.equals("POST")
                      ? HttpRequest.BodyPublishers.ofString("body")
                      : HttpRequest.BodyPublishers.noBody());
      if (token != null) {
        request.header("Authorization", token);
      }
      HttpResponse<String> response =
          HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
      assertThat(response.statusCode()).isEqualTo(status);
      assertThat(response.body()).contains(expectedText);
    }
  }

  /** Guards against an operator's change that is cut by the end of the process. */
  @Test
  void closeWaitsForCallInProgress() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    AtomicBoolean done = new AtomicBoolean();
    Mono<OperatorResponse> slowCall =
        Mono.delay(Duration.ofMillis(500))
            .map(
                ignored -> {
                  done.set(true);
                  return new OperatorResponse(200, "changed");
                })
            .doOnSubscribe(ignored -> started.countDown());
    OperatorServer server =
        OperatorServer.of(
            "127.0.0.1",
            0,
            "secret",
            List.of(OperatorRoute.unauthenticated("/slow", request -> slowCall)));
    Address address = server.start();
    CompletableFuture<HttpResponse<String>> response =
        HttpClient.newHttpClient()
            .sendAsync(
                HttpRequest.newBuilder(URI.create("http://" + address + "/slow")).build(),
                HttpResponse.BodyHandlers.ofString());
    started.await();
    server.close();
    assertThat(done).isTrue();
    assertThat(response.get().body()).isEqualTo("changed");
  }

  /**
   * Guards against a call that begins on an open connection while the server closes, and is cut
   * after the server counted no more calls.
   */
  @Test
  void callThatBeginsDuringTheCloseIsRefused() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    Sinks.One<OperatorResponse> slowCall = Sinks.one();
    OperatorServer server =
        OperatorServer.of(
            "127.0.0.1",
            0,
            "secret",
            List.of(
                OperatorRoute.unauthenticated(
                    "/slow", request -> slowCall.asMono().doOnSubscribe(s -> started.countDown())),
                OperatorRoute.unauthenticated(
                    "/fast", request -> Mono.just(new OperatorResponse(200, "done")))));
    Address address = server.start();
    try (Socket inProgress = new Socket(address.host(), address.port());
        Socket idle = new Socket(address.host(), address.port())) {
      call(idle, "/fast");
      assertThat(idle.getInputStream().read()).isEqualTo('H');
      call(inProgress, "/slow");
      started.await();
      CompletableFuture<Void> closed = CompletableFuture.runAsync(server::close);
      awaitListenerClosed(address);
      call(idle, "/fast");
      String responses = new String(idle.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(responses).contains("HTTP/1.1 503", "connection: close");
      slowCall.tryEmitValue(new OperatorResponse(200, "changed"));
      closed.get();
      assertThat(new String(inProgress.getInputStream().readAllBytes(), StandardCharsets.UTF_8))
          .contains("changed");
    }
  }

  private static void call(Socket socket, String path) throws IOException {
    String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
  }

  private static void awaitListenerClosed(Address address) throws IOException {
    while (true) {
      try (Socket probe = new Socket(address.host(), address.port())) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
      } catch (ConnectException e) {
        return;
      }
    }
  }
}
