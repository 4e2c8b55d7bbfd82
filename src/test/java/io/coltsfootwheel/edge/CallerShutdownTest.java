package io.coltsfootwheel.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

@Timeout(60)
class CallerShutdownTest implements RequestHandler, TargetAnnouncements {
  private final Sinks.One<CallerResponse> answer = Sinks.one();
  private final CountDownLatch handled = new CountDownLatch(1);
  private final CallerServer server =
      CallerServer.of(CallerServerSettings.of("127.0.0.1", 0), this, this, () -> "stamp");

  /** Guards against a shutdown that resets later requests on a caller's warm connection. */
  @Test
  void responsesDuringShutdownEndTheirConnections() throws Exception {
    Address address = server.start();
    try (Socket accepted = open(address);
        Socket refused = new Socket(address.host(), address.port())) {
      handled.await();
      server.refuseNewRequests(true);
      send(refused);
      assertThat(readToEnd(refused)).startsWith("HTTP/1.1 503").contains("shutting-down");
      answer.tryEmitValue(
          new CallerResponse.Relayed(TargetId.of("t1"), 204, List.of(), Flux.empty()));
      assertThat(readToEnd(accepted)).startsWith("HTTP/1.1 204");
    } finally {
      server.close();
    }
  }

  /**
   * Guards against a refusal that the caller cannot read: a connection that is closed with an
   * unread body is reset, and the caller takes the outcome for unknown.
   */
  @Test
  void refusalDuringShutdownFollowsTheBody() throws Exception {
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

  @Override
  public Mono<CallerResponse> handle(CallerRequest request) {
    handled.countDown();
    return answer.asMono();
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
    return Mono.empty();
  }

  private static Socket open(Address address) throws Exception {
    Socket socket = new Socket(address.host(), address.port());
    send(socket);
    return socket;
  }

  private static void send(Socket socket) throws Exception {
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write("GET /s/x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes());
  }

  /** Fails with a timeout of the socket when the server keeps the connection open. */
  private static String readToEnd(Socket socket) throws Exception {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
