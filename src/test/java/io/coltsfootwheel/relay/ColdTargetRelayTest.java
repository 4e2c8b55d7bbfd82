package io.coltsfootwheel.relay;

import static io.coltsfootwheel.relay.RelayFixture.KEYED;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.WarmupState;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.loadcontrol.PermitLimit;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests over sockets how an entry spends the permits for a cold target. */
@Timeout(60)
class ColdTargetRelayTest {
  private final ScriptedTarget target = new ScriptedTarget("a", KEYED, ScriptedTarget.Step.ANSWER);
  private final RelayFixture entry =
      new RelayFixture(RelayFixture.DRAIN_MILLIS, RelayFixture.twoServices());

  @AfterEach
  void stop() {
    entry.close();
    target.close();
  }

  @BeforeEach
  void publishColdTarget() {
    publish(WarmupState.COLD);
  }

  private void publish(WarmupState warmup) {
    OwnershipView.Target view = target.view(TargetPhase.READY);
    OwnershipView.Target withState =
        new OwnershipView.Target(
            view.id(),
            view.service(),
            view.address(),
            view.zone(),
            view.slots(),
            view.phase(),
            view.incarnationMillis(),
            false,
            warmup);
    entry.updateOwnership(
        new OwnershipView(
            List.of(withState),
            List.of(new OwnershipView.Range(KEYED, KeyRange.ALL, view.id(), true, 0))));
  }

  private LoadReport report() {
    return entry.relay().takeLoadReport().block();
  }

  private void grant(long askedNanos, int permits) {
    entry.relay().grantPermits(askedNanos, Map.of(target.id(), new PermitGrant(permits, 0)));
  }

  private void awaitDemand(int permits) {
    while (report().permitRequests().getOrDefault(target.id(), 0) != permits) {
      Thread.onSpinWait();
    }
  }

  /**
   * Guards against requests that are sent without a permit, on a new connection or on an idle one,
   * or that wait on when a permit is there.
   */
  @Test
  void eachPermitSendsOneWaitingRequest() {
    int requests = 4;
    List<CompletableFuture<HttpResponse<String>>> responses =
        IntStream.range(0, requests).mapToObj(i -> entry.send(KEYED, "r" + i)).toList();
    awaitDemand(requests);
    assertThat(target.requests()).isEmpty();
    for (int granted = 1; granted <= 2; granted++) {
      grant(System.nanoTime(), 1);
      int expected = granted;
      while (responses.stream().filter(CompletableFuture::isDone).count() < expected) {
        Thread.onSpinWait();
      }
      awaitDemand(requests - granted);
      assertThat(target.requests()).hasSize(granted);
    }
    publish(WarmupState.WARM);
    responses.forEach(r -> assertThat(r.join().statusCode()).isEqualTo(200));
    assertThat(report().permitRequests()).isEmpty();
  }

  /** Guards against permits that are used late, or that an earlier process has asked for. */
  @Test
  void permitsOfOldQuestionsSendNothing() {
    CompletableFuture<HttpResponse<String>> waiting = entry.send(KEYED, "one");
    awaitDemand(1);
    grant(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(PermitLimit.VALID_MILLIS), 1);
    grant(System.nanoTime() + TimeUnit.SECONDS.toNanos(1), 1);
    awaitDemand(1);
    assertThat(waiting.isDone()).isFalse();
    assertThat(target.requests()).isEmpty();
    publish(WarmupState.WARM);
    assertThat(waiting.join().statusCode()).isEqualTo(200);
  }
}
