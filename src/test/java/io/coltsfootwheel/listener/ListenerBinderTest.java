package io.coltsfootwheel.listener;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

class ListenerBinderTest {
  private static final String HOST = "127.0.0.1";
  private static final Duration LONG = Duration.ofMinutes(1);
  private static final int FAILED_ATTEMPTS = 3;

  private final List<String> failures = new ArrayList<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private ServerSocket holder;
  private Address address;

  @BeforeEach
  void occupyAPort() throws IOException {
    holder = new ServerSocket(0, 1, InetAddress.getByName(HOST));
    address = new Address(HOST, holder.getLocalPort());
  }

  @AfterEach
  void freeThePort() throws IOException {
    holder.close();
  }

  private DisposableServer attempt() {
    attempts.incrementAndGet();
    return TcpServer.create().host(HOST).port(address.port()).bindNow();
  }

  /** Guards against a start that ends as the process before still holds its port. */
  @Test
  void portInUseIsTriedAgainAndItsFirstFailureIsReportedOnce() {
    ListenerBinder binder = new ListenerBinder(LONG, () -> false, failures::add);
    DisposableServer server = binder.bind("test address " + address, this::freePortAndAttempt);
    server.disposeNow();
    assertThat(failures).containsExactly("test address " + address);
  }

  private DisposableServer freePortAndAttempt() {
    if (attempts.get() == FAILED_ATTEMPTS) {
      try {
        holder.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
    return attempt();
  }

  /** Guards against a start that waits for a taken port for good. */
  @Test
  void portThatStaysInUseIsGivenUpAtTheTimeLimit() {
    ListenerBinder binder = new ListenerBinder(Duration.ofMillis(1), () -> false, failures::add);
    assertThatThrownBy(() -> binder.bind("test address " + address, this::attempt))
        .isInstanceOfSatisfying(
            ColtsfootwheelException.class,
            e -> assertThat(e.kind()).isEqualTo(ErrorKind.INVALID_SETTINGS))
        .hasMessageContaining("test address " + address);
  }

  /** Guards against a start that a request to stop does not end. */
  @Test
  void requestToStopEndsTheRetries() {
    ListenerBinder binder =
        new ListenerBinder(LONG, () -> attempts.get() >= FAILED_ATTEMPTS, failures::add);
    assertThatThrownBy(() -> binder.bind("test address " + address, this::attempt))
        .isInstanceOfSatisfying(
            ColtsfootwheelException.class,
            e -> assertThat(e.kind()).isEqualTo(ErrorKind.SHUTTING_DOWN));
  }

  /** Guards against retries of faults that no retry mends. */
  @Test
  void otherFailureIsNotTriedAgain() {
    ListenerBinder binder = new ListenerBinder(LONG, () -> false, failures::add);
    assertThatThrownBy(
            () ->
                binder.bind(
                    "test address " + address,
                    () -> {
                      throw new IllegalStateException("not a bind failure");
                    }))
        .isInstanceOf(ColtsfootwheelException.class);
    assertThat(failures).isEmpty();
  }
}
