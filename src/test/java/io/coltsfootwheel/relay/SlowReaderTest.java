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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the memory that clients and targets use that read slowly or not at all. */
@Timeout(60)
class SlowReaderTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final long IDLE_MILLIS = 1_500;
  private static final int MIB = 1024 * 1024;

  /** Larger than the socket buffers of the relay and the client together. */
  private static final int LARGE_BYTES = 14 * MIB;

  private static final long BRIEF_TIMEOUT_MILLIS = 600;

  private RelayFixture fixture = fixture(IDLE_MILLIS);
  private final List<Socket> sockets = new ArrayList<>();
  private HoldingTarget target;

  private static RelayFixture fixture(long idleMillis) {
    return new RelayFixture(
        RelayFixture.DRAIN_MILLIS,
        List.of(
            ConfigurationItem.of(new ServicePolicy(SERVICE, false, 500), "{}"),
            ConfigurationItem.of(new ClientLimits(2_048, 8 * MIB, 60_000, idleMillis), "{}"),
            RelayFixture.route("safe", SERVICE, RouteKind.SAFE, 20_000),
            RelayFixture.route("unsafe", SERVICE, RouteKind.UNSAFE, 20_000),
            RelayFixture.route("brief", SERVICE, RouteKind.UNSAFE, BRIEF_TIMEOUT_MILLIS)));
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    fixture.close();
    target.close();
  }

  private void startTarget(int bodyBytes) {
    target = new HoldingTarget(SERVICE, 100, bodyBytes);
    fixture.updateOwnership(new OwnershipView(List.of(target.view()), List.of()));
  }

  private Socket send(String path, int requestBytes) throws IOException {
    Socket socket = new Socket(RelayFixture.HOST, fixture.port());
    socket.setSoTimeout(30_000);
    sockets.add(socket);
    send(socket, path, requestBytes);
    return socket;
  }

  private static void send(Socket socket, String path, int requestBytes) throws IOException {
    String head =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nid: %s\r\nContent-Length: %d\r\n\r\n"
            .formatted(path, path, requestBytes);
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(new byte[requestBytes]);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private boolean isLogged(String text) {
    return fixture.logLines().stream().anyMatch(line -> line.contains(text));
  }

  /** Returns the bytes of complete bodies, read on the event loop that counts them. */
  private long completeBytes() {
    return CompletableFuture.supplyAsync(
            () -> fixture.relay().bodyBudget().completeBytes(), fixture.relay().executor())
        .join();
  }

  /** Guards against a client that reads nothing and holds its responses for ever. */
  @Test
  void clientThatReadsNothingIsDisconnectedAfterTheIdleTimeout() throws Exception {
    startTarget(LARGE_BYTES);
    long startNanos = System.nanoTime();
    send("/safe/1", 0);
    await(() -> isLogged("the client does not read its responses"));
    assertThat(System.nanoTime() - startNanos)
        .isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(IDLE_MILLIS));
    await(() -> fixture.relay().stopReport().block().openConnections() == 0);
    assertThat(completeBytes()).isZero();
  }

  /** Guards against a client that is disconnected although it reads, if slowly. */
  @Test
  void clientThatReadsSlowlyReceivesItsWholeResponse() throws Exception {
    startTarget(LARGE_BYTES);
    InputStream input = send("/safe/1", 0).getInputStream();
    int received = 0;
    int count = input.readNBytes(MIB).length;
    while (received + count < LARGE_BYTES) {
      received += count;
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS / 5);
      count = input.readNBytes(MIB).length;
      assertThat(count).isPositive();
    }
    assertThat(isLogged("client.closed")).isFalse();
  }

  /**
   * Guards against responses without a bound that a client has requested and does not read, and
   * against a connection that is not read again after its client has read.
   */
  @Test
  void requestsOfAClientThatDoesNotReadWait() throws Exception {
    startTarget(300_000);
    int requests = 100;
    Socket socket = send("/safe/0", 0);
    for (int i = 1; i < requests; i++) {
      send(socket, "/safe/" + i, 0);
    }
    TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS / 2);
    assertThat(target.received()).hasSizeLessThan(requests);
    // The bytes of the connection, and of the requests that were in progress at the bound.
    assertThat(completeBytes()).isLessThan(MIB + 17 * 300_000);
    assertThat(socket.getInputStream().readNBytes(requests * 300_000)).hasSize(requests * 300_000);
    assertThat(target.received()).hasSize(requests);
  }

  /** Guards against request bodies that together exceed the memory of the process. */
  @Test
  void requestThatExceedsTheMemoryForBodiesIsRefused() throws Exception {
    startTarget(0);
    Socket first = send("/unsafe/hold1", 7 * MIB);
    send("/unsafe/hold2", 7 * MIB);
    await(() -> target.received().size() == 2);
    InputStream refused = send("/unsafe/3", 7 * MIB).getInputStream();
    assertThat(new String(refused.readNBytes(100), StandardCharsets.ISO_8859_1))
        .startsWith("HTTP/1.1 503")
        .contains("id: /unsafe/3")
        .contains("retry-after: 0.300");
    assertThat(target.received()).doesNotContain("/unsafe/3");
    target.release("/unsafe/hold1", "/unsafe/hold2");
    assertThat(first.getInputStream().readNBytes(12)).asString().isEqualTo("HTTP/1.1 200");
    await(() -> completeBytes() == 0);
    target.release("/unsafe/hold4");
    InputStream admitted = send("/unsafe/hold4", 7 * MIB).getInputStream();
    assertThat(admitted.readNBytes(12)).asString().isNotEqualTo("HTTP/1.1 503");
    assertThat(target.received()).contains("/unsafe/hold4");
    await(() -> completeBytes() == 0);
  }

  /** Guards against a client that reads nothing and makes the relay refuse those of all others. */
  @Test
  void clientThatReadsNothingIsDisconnectedWhenMemoryIsShort() throws Exception {
    fixture.close();
    fixture = fixture(60_000);
    startTarget(LARGE_BYTES);
    send("/safe/1", 0);
    await(() -> completeBytes() > 0);
    String status = "";
    while (!status.endsWith("504") && !status.endsWith("200")) {
      TimeUnit.MILLISECONDS.sleep(200);
      InputStream input = send("/brief/hold", 7 * MIB).getInputStream();
      status = new String(input.readNBytes(12), StandardCharsets.ISO_8859_1);
    }
    assertThat(isLogged("the client does not read its responses")).isTrue();
  }

  /** Guards against the request of a slow target that is kept after its deadline. */
  @Test
  void requestThatTheTargetDoesNotReadIsReleasedAtItsDeadline() throws Exception {
    startTarget(0);
    target.stopReading();
    InputStream input = send("/brief/hold1", 8 * MIB).getInputStream();
    assertThat(input.readNBytes(12)).asString().isEqualTo("HTTP/1.1 504");
    await(() -> completeBytes() == 0);
  }
}
