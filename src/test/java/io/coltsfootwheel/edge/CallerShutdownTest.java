package io.coltsfootwheel.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

@Timeout(60)
class CallerShutdownTest implements RequestHandler, TargetAnnouncements {
  /** Longer than the time for which the server waits for idle connections to be closed. */
  private static final Duration REMOVAL_TIME = Duration.ofMillis(1_400);

  private final Sinks.One<CallerResponse> handlerResponse = Sinks.one();
  private final CountDownLatch requestHandled = new CountDownLatch(1);
  private final CountDownLatch removalStarted = new CountDownLatch(1);
  private volatile boolean removalDone;
  private final CallerServer server =
      CallerServer.of(CallerServerSettings.of("127.0.0.1", 0), this, this, () -> "stamp");

  /** Guards against a shutdown that resets later requests on a caller's keep-alive connection. */
  @Test
  void responseDuringShutdownClosesConnection() throws Exception {
    Address address = server.start();
    try (Socket acceptedConnection = openAndSendRequest(address);
        Socket refusedConnection = new Socket(address.host(), address.port())) {
      requestHandled.await();
      server.refuseNewRequests(true);
      sendRequest(refusedConnection);
      assertThat(readToEnd(refusedConnection)).startsWith("HTTP/1.1 503").contains("shutting-down");
      handlerResponse.tryEmitValue(
          new CallerResponse.Relayed(TargetId.of("t1"), 204, List.of(), Flux.empty()));
      assertThat(readToEnd(acceptedConnection)).startsWith("HTTP/1.1 204");
    } finally {
      server.close();
    }
  }

  /**
   * Guards against a refusal that the caller cannot read: a connection that is closed with an
   * unread body is reset, and the caller has to assume an unknown outcome.
   */
  @Test
  void refusalDuringShutdownIsSentAfterBodyIsRead() throws Exception {
    Address address = server.start();
    server.refuseNewRequests(true);
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(10_000);
      int length = 512 * 1024;
      String head = "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(new byte[length]);
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 503").contains("shutting-down");
    } finally {
      server.close();
    }
  }

  /**
   * Guards against a connection that stays open without a reader until the process ends: a request
   * on it would wait for that end and be reset.
   */
  @Test
  void closeEndsIdleConnections() throws Exception {
    Address address = server.start();
    handlerResponse.tryEmitValue(
        new CallerResponse.Relayed(TargetId.of("t1"), 204, List.of(), Flux.empty()));
    try (Socket idleConnection = openAndSendRequest(address)) {
      assertThat(idleConnection.getInputStream().read()).isEqualTo('H');
      server.refuseNewRequests(true);
      server.close();
      assertThat(readToEnd(idleConnection)).startsWith("TTP/1.1 204");
    }
  }

  /** Guards against a change of a target that is cut by the end of the process. */
  @Test
  void closeWaitsForAnnouncementInProgress() throws Exception {
    Address address = server.start();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(10_000);
      socket
          .getOutputStream()
          .write("DELETE /v1/targets/t1 HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
      removalStarted.await();
      server.refuseNewRequests(true);
      server.close();
      assertThat(removalDone).isTrue();
      assertThat(readToEnd(socket)).startsWith("HTTP/1.1 200");
    }
  }

  @Override
  public Mono<CallerResponse> handle(CallerRequest request) {
    requestHandled.countDown();
    return handlerResponse.asMono();
  }

  @Override
  public void cancelled(CallerRequest request) {}

  @Override
  public Mono<Void> announce(TargetSpec spec) {
    return Mono.empty();
  }

  @Override
  public Mono<Void> drain(TargetId target) {
    return Mono.empty();
  }

  @Override
  public Mono<Void> remove(TargetId target) {
    removalStarted.countDown();
    return Mono.delay(REMOVAL_TIME).doOnNext(ignored -> removalDone = true).then();
  }

  private static Socket openAndSendRequest(Address address) throws Exception {
    Socket socket = new Socket(address.host(), address.port());
    sendRequest(socket);
    return socket;
  }

  private static void sendRequest(Socket socket) throws Exception {
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write("GET /s/x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
  }

  /** Reads until the server closes the connection; fails with a socket timeout if it stays open. */
  private static String readToEnd(Socket socket) throws Exception {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
