package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.api.RoutePreview;
import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Previews of a relay with one target of each service; nothing may reach them. */
class RoutePreviewTest {
  private static final String UNROUTED = "no.example";

  private final RelayFixture fixture =
      new RelayFixture(RelayFixture.DRAIN_MILLIS, RelayFixture.twoServices());
  private final HoldingTarget keyed = new HoldingTarget(RelayFixture.KEYED, 2, 10);
  private final HoldingTarget unkeyed = new HoldingTarget(RelayFixture.UNKEYED, 2, 10);

  RoutePreviewTest() {
    fixture.updateOwnership(
        new OwnershipView(
            List.of(keyed.view(), unkeyed.view()),
            List.of(
                new OwnershipView.Range(
                    RelayFixture.KEYED, new KeyRange(0, 99), keyed.view().id(), true, 0))));
  }

  @AfterEach
  void close() {
    fixture.close();
    keyed.close();
    unkeyed.close();
  }

  private RoutePreview preview(String host, String path, String key) {
    return fixture.relay().preview(host, path, key).block();
  }

  private RoutePreview.ServicePreview service(String path, String key) {
    return preview(RelayFixture.HOST, path, key).services().get(0);
  }

  private void setInFlight(TargetId target, int inFlight) {
    fixture.relay().heard(Map.of(target, new TargetLoadEstimate(inFlight, 10_000)), 2);
  }

  /** Guards against a preview that differs from the decision on a request. */
  @ParameterizedTest
  @CsvSource({
    "/keyed/, 17, SEND, in time",
    "/keyed/, 100, WAIT, no owner",
    "/keyed/, '', REFUSE, no valid key",
    "/keyed/, x, REFUSE, no valid key",
    "/any/, '', SEND, in time"
  })
  void decisionIsThatOfARequest(
      String path, String key, RoutePreview.Decision decision, String reason) {
    RoutePreview.ServicePreview service = service(path, key);
    assertThat(service.decision()).isEqualTo(decision);
    assertThat(service.reason()).contains(reason);
  }

  /** Guards against a target that is named although the request would be refused there. */
  @ParameterizedTest
  @ValueSource(strings = {"/keyed/", "/any/"})
  void loadOfTheTargetExplainsARefusal(String path) {
    TargetId target = path.equals("/any/") ? unkeyed.view().id() : keyed.view().id();
    setInFlight(target, 8);
    RoutePreview.ServicePreview service = service(path, "17");
    assertThat(service.decision()).isEqualTo(RoutePreview.Decision.REFUSE);
    assertThat(service.reason()).isEqualTo("not enough time left");
    assertThat(service.millis()).isPositive();
    assertThat(service.targets()).singleElement().extracting("inFlight").isEqualTo(8);
  }

  @Test
  void unknownRouteIsNamed() {
    RoutePreview preview = preview(UNROUTED, "/any/", "");
    assertThat(preview.reason()).isEqualTo("no route matches");
    assertThat(preview.services()).isEmpty();
  }

  /** Guards against previews that count as demand or reach a target. */
  @ParameterizedTest
  @ValueSource(strings = {"/keyed/", "/any/"})
  void previewsAreNoRequests(String path) {
    for (int i = 0; i < 20; i++) {
      service(path, "17");
    }
    assertThat(fixture.relay().takeLoadReport().block().requestsByKey()).isEmpty();
    assertThat(fixture.relay().takeLoadReport().block().demand()).isEmpty();
    assertThat(keyed.received()).isEmpty();
    assertThat(unkeyed.received()).isEmpty();
  }
}
