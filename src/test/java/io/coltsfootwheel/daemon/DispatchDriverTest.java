package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.StampSigner;
import io.coltsfootwheel.edge.CallerResponse;
import io.coltsfootwheel.edge.GrantResult;
import io.coltsfootwheel.edge.ResponseRelay;
import io.coltsfootwheel.edge.TargetClient;
import io.coltsfootwheel.edge.TargetRequest;
import io.coltsfootwheel.edge.TargetResult;
import io.coltsfootwheel.link.ForwardFrame;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

class DispatchDriverTest implements TargetClient, ResponseRelay {
  private static final InstanceId ENTRY = InstanceId.of("entry");
  private static final TargetId TARGET = TargetId.of("t1");

  private final List<CallerResponse> relayed = new ArrayList<>();

  /**
   * Guards against an entry that receives no refusal after a broken connection: its caller would
   * wait until the deadline, and an idempotent request would not be retried.
   */
  @Test
  void reportsABrokenTargetConnectionToARemoteEntry() {
    DispatchDriver driver =
        new DispatchDriver(
            InstanceId.of("self"), new StampSigner(new byte[32]), this, this, null, event -> {});
    driver.offer(
        ENTRY,
        "session",
        new ForwardFrame(
            7,
            "ledger",
            TARGET.value(),
            3,
            -1,
            Optional.empty(),
            Optional.empty(),
            true,
            1_000,
            "GET",
            "/x",
            List.of(),
            new byte[0]));
    long inTimeNanos = System.nanoTime() + 60_000_000_000L;
    driver.execute(
        new DispatchEffect.SendToTarget(
            "entry/session/7", TARGET, Fence.of(3), OptionalInt.empty(), 1_000, inTimeNanos));
    driver.execute(
        new DispatchEffect.RefuseRequest("entry/session/7", ErrorKind.TARGET_FAILED, 0, "broke"));

    assertThat(relayed)
        .extracting(response -> ((CallerResponse.Error) response).kind())
        .containsExactly(ErrorKind.TARGET_FAILED);
  }

  @Override
  public Mono<TargetResult> send(TargetId target, TargetRequest request) {
    return Mono.just(new TargetResult.Broken("reset by peer"));
  }

  @Override
  public Mono<Void> send(InstanceId entry, long requestId, CallerResponse response) {
    relayed.add(response);
    return Mono.empty();
  }

  @Override
  public void open(TargetId target, Address address, int connections) {}

  @Override
  public void close(TargetId target) {}

  @Override
  public void retire(TargetId target) {}

  @Override
  public Mono<GrantResult> grant(TargetId target, InstanceId instance, long fence, long until) {
    return Mono.empty();
  }

  @Override
  public Mono<Boolean> probe(TargetId target) {
    return Mono.empty();
  }

  @Override
  public Mono<Boolean> cancel(TargetId target, String requestId) {
    return Mono.empty();
  }

  @Override
  public Mono<CallerResponse> expect(InstanceId dispatcher, long requestId) {
    return Mono.empty();
  }

  @Override
  public void remove(InstanceId dispatcher, long requestId) {}

  @Override
  public void cancel(InstanceId entry, long requestId) {}

  @Override
  public int outgoingResponses() {
    return 0;
  }

  @Override
  public void received(InstanceId from, Frame frame) {}

  @Override
  public void disconnected(InstanceId peer) {}

  @Override
  public void close() {}
}
