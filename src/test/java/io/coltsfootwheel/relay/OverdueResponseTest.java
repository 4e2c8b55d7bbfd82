package io.coltsfootwheel.relay;

import static io.coltsfootwheel.relay.RelayFixture.UNKEYED;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests over sockets what happens to a request that a full target never answers. */
@Timeout(60)
class OverdueResponseTest {
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final long OVERDUE_MILLIS = 1_500;

  /**
   * Guards against requests in flight that hide the free slots of a target, and against an
   * uncertain request that is sent twice or reported as not executed.
   */
  @ParameterizedTest
  @CsvSource({"SAFE, 200, 2", "UNSAFE, 504, 1"})
  void overdueRequestIsNotReportedAsInFlight(RouteKind kind, int status, int sends)
      throws Exception {
    List<ConfigurationItem> items =
        List.of(
            ConfigurationItem.of(new ServicePolicy(UNKEYED, false, 20), "{}"),
            RelayFixture.route("any", UNKEYED, kind, TIMEOUT_MILLIS));
    try (ScriptedTarget target =
            new ScriptedTarget(
                "a",
                ServiceName.of("any"),
                ScriptedTarget.Step.NO_RESPONSE,
                ScriptedTarget.Step.ANSWER);
        RelayFixture entry = new RelayFixture(RelayFixture.DRAIN_MILLIS, items)) {
      entry.updateOwnership(new OwnershipView(List.of(target.view()), List.of()));
      CompletableFuture<HttpResponse<String>> response = entry.send(UNKEYED, "r1");
      Thread.sleep(OVERDUE_MILLIS);
      LoadReport report = entry.relay().takeLoadReport().block();
      assertThat(report.targets()).allMatch(o -> o.inFlight() == 0);
      assertThat(response.join().statusCode()).isEqualTo(status);
      assertThat(target.requests()).hasSize(sends);
    }
  }
}
