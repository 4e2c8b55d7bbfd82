package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that fail after a restart of all processes, because each entry refuses
 * what arrives in the fraction of a second before its routes.
 */
class StartupWaitTest {
  @ParameterizedTest
  @CsvSource({"1200, 400", "5200, 1000", "0, 0", "-1, 1000"})
  void waitLeavesTimeForAnotherAttempt(long deadlineMillis, long waitMillis) {
    OptionalLong stated =
        deadlineMillis < 0 ? OptionalLong.empty() : OptionalLong.of(deadlineMillis);
    assertThat(StartupWait.maxWaitMillis(stated)).isEqualTo(waitMillis);
  }

  @Test
  void requestThatArrivesBeforeTheTargetsIsServed() throws Exception {
    try (RelayFixture fixture =
            new RelayFixture(RelayFixture.DRAIN_MILLIS, RelayFixture.twoServices());
        ScriptedTarget target =
            new ScriptedTarget("t", RelayFixture.UNKEYED, ScriptedTarget.Step.ANSWER)) {
      CompletableFuture<HttpResponse<String>> response =
          fixture.send(RelayFixture.UNKEYED, "early");
      while (fixture.relay().stopReport().block().busyConnections() == 0 && !response.isDone()) {
        Thread.sleep(5);
      }
      assertThat(response).isNotDone();
      fixture.updateOwnership(new OwnershipView(List.of(target.view()), List.of()));
      assertThat(response.join().statusCode()).isEqualTo(200);
      assertThat(target.executedIds()).containsExactly("early");
    }
  }

  @Test
  void requestIsRefusedAsNotRunWhenNoTargetsArrive() {
    try (RelayFixture fixture =
        new RelayFixture(RelayFixture.DRAIN_MILLIS, RelayFixture.twoServices())) {
      HttpResponse<String> response = fixture.get(RelayFixture.UNKEYED, "early");
      assertThat(response.statusCode()).isEqualTo(503);
      assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }
  }
}
