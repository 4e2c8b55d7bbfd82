package io.coltsfootwheel.relay;

import static io.coltsfootwheel.relay.RelayFixture.KEYED;
import static io.coltsfootwheel.relay.RelayFixture.UNKEYED;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.ServiceName;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests over sockets what follows from the word of targets that leave or refuse. */
@Timeout(120)
class TargetNoticeRelayTest {
  /** Short, so that a test can wait for its end; 400 ms of it are left for a connection. */
  private static final long DRAIN_MILLIS = 900;

  private static final long REFUSAL_SETTLED_MILLIS = 500;
  private static final int ENTRIES = 10;
  private static final int QUEUED_REQUESTS = 200;

  /** Requests that may reach a target from one entry while it wants none. */
  private static final int MAX_ARRIVALS_IN_PAUSE = 2;

  private final List<RelayFixture> entries = new ArrayList<>();
  private final List<ScriptedTarget> targets = new ArrayList<>();

  @AfterEach
  void stop() {
    entries.forEach(RelayFixture::close);
    targets.forEach(ScriptedTarget::close);
  }

  private RelayFixture entry() {
    RelayFixture entry = new RelayFixture(DRAIN_MILLIS, RelayFixture.twoServices());
    entries.add(entry);
    return entry;
  }

  private ScriptedTarget target(String id, ServiceName service, ScriptedTarget.Step... steps) {
    ScriptedTarget target = new ScriptedTarget(id, service, steps);
    targets.add(target);
    return target;
  }

  private static void publish(RelayFixture entry, OwnershipView.Target... views) {
    List<OwnershipView.Range> ranges =
        Stream.of(views)
            .filter(v -> v.service().equals(KEYED))
            .map(v -> new OwnershipView.Range(KEYED, KeyRange.ALL, v.id(), true, 0))
            .toList();
    entry.updateOwnership(new OwnershipView(List.of(views), ranges));
  }

  private static double retryAfterSeconds(HttpResponse<String> response) {
    return Double.parseDouble(response.headers().firstValue("retry-after").orElseThrow());
  }

  /** Guards against requests to a target that has refused one and wants none for a time. */
  @ParameterizedTest
  @ValueSource(strings = {"keyed", "any"})
  void pausedTargetReceivesNothing(String serviceName) {
    ServiceName service = ServiceName.of(serviceName);
    ScriptedTarget target =
        target("a", service, ScriptedTarget.Step.REJECT_AND_PAUSE, ScriptedTarget.Step.ANSWER);
    RelayFixture entry = entry();
    publish(entry, target.view());
    for (int i = 0; i < 10; i++) {
      HttpResponse<String> response = entry.get(service, "r" + i);
      assertThat(response.statusCode()).isEqualTo(503);
      assertThat(retryAfterSeconds(response)).isBetween(0.1, ScriptedTarget.PAUSE_SECONDS + 0.01);
    }
    assertThat(target.requests()).hasSize(1);
    assertThat(entry.logLines()).anyMatch(l -> l.contains("target.paused"));
  }

  /** Guards against a service that is refused although other targets can carry its work. */
  @Test
  void otherTargetsCarryTheWorkOfAPausedOne() {
    ScriptedTarget paused = target("a", UNKEYED, ScriptedTarget.Step.REJECT_AND_PAUSE);
    ScriptedTarget other = target("b", UNKEYED, ScriptedTarget.Step.ANSWER);
    RelayFixture entry = entry();
    publish(entry, paused.view(), other.view());
    for (int i = 0; i < 20; i++) {
      assertThat(entry.get(UNKEYED, "r" + i).statusCode()).isEqualTo(200);
    }
    assertThat(paused.requests()).hasSizeLessThanOrEqualTo(1);
  }

  /** Guards against a pause that ends with a later answer to an earlier request. */
  @Test
  void laterAnswerDoesNotEndThePause() {
    ScriptedTarget target =
        target(
            "a",
            KEYED,
            ScriptedTarget.Step.ANSWER_WHEN_RELEASED,
            ScriptedTarget.Step.REJECT_AND_PAUSE,
            ScriptedTarget.Step.ANSWER);
    RelayFixture entry = entry();
    publish(entry, target.view());
    CompletableFuture<HttpResponse<String>> first = entry.send(KEYED, "first");
    while (target.requests().isEmpty()) {
      Thread.onSpinWait();
    }
    assertThat(entry.get(KEYED, "refused").statusCode()).isEqualTo(503);
    target.release();
    assertThat(first.join().statusCode()).isEqualTo(200);
    assertThat(entry.get(KEYED, "later").statusCode()).isEqualTo(503);
    assertThat(target.requests()).hasSize(2);
  }

  /**
   * Load pattern: ten entries with many requests for one refusing target. Guards against requests
   * that wait in an entry and reach the target during its pause.
   */
  @Test
  void queuedRequestsDoNotReachAPausedTarget() throws Exception {
    ScriptedTarget target = target("a", KEYED, ScriptedTarget.Step.REJECT_AND_PAUSE);
    IntStream.range(0, ENTRIES).forEach(i -> publish(entry(), target.view()));
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < QUEUED_REQUESTS; i++) {
      for (RelayFixture entry : entries) {
        responses.add(entry.send(KEYED, "r" + responses.size()));
      }
    }
    Thread.sleep(REFUSAL_SETTLED_MILLIS);
    int before = target.requests().size();
    responses.forEach(r -> assertThat(r.join().statusCode()).isEqualTo(503));
    for (RelayFixture entry : entries) {
      assertThat(entry.get(KEYED, "later" + entries.indexOf(entry)).statusCode()).isEqualTo(503);
    }
    assertThat(target.requests().size() - before)
        .isLessThanOrEqualTo(ENTRIES * MAX_ARRIVALS_IN_PAUSE);
  }

  /** Guards against a pause, or an error to the caller, because of a value that cannot be read. */
  @ParameterizedTest
  @EnumSource(names = {"REJECT_WITH_INVALID_PAUSE", "ANSWER_WITH_INVALID_LEAVING"})
  void invalidNoticeIsLoggedAndIgnored(ScriptedTarget.Step step) {
    ScriptedTarget target = target("a", KEYED, step, ScriptedTarget.Step.ANSWER);
    RelayFixture entry = entry();
    publish(entry, target.view());
    assertThat(entry.get(KEYED, "r0").statusCode()).isEqualTo(200);
    assertThat(entry.get(KEYED, "r1").statusCode()).isEqualTo(200);
    assertThat(entry.logLines()).anyMatch(l -> l.contains("target.header.invalid"));
  }

  /** Guards against new requests to a target that has said that it is leaving. */
  @Test
  void leavingTargetReceivesNothingWhileAnotherIsReady() {
    ScriptedTarget leaving = target("a", UNKEYED, ScriptedTarget.Step.ANSWER_LEAVING);
    ScriptedTarget ready = target("b", UNKEYED, ScriptedTarget.Step.ANSWER);
    RelayFixture entry = entry();
    publish(entry, leaving.view(), ready.view());
    for (int i = 0; i < 40; i++) {
      assertThat(entry.get(UNKEYED, "r" + i).statusCode()).isEqualTo(200);
    }
    assertThat(leaving.requests()).hasSizeLessThanOrEqualTo(1);
  }

  /**
   * Guards against requests to a target later than its drain time after it said that it leaves,
   * although the view that the entry has, or gets again, shows it as ready.
   */
  @ParameterizedTest
  @ValueSource(strings = {"keyed", "any"})
  void wordOfALeavingTargetOutlastsAnOlderView(String serviceName) throws Exception {
    ServiceName service = ServiceName.of(serviceName);
    ScriptedTarget target = target("a", service, ScriptedTarget.Step.ANSWER_LEAVING);
    RelayFixture entry = entry();
    publish(entry, target.view());
    assertThat(entry.get(service, "r0").statusCode()).isEqualTo(200);
    Thread.sleep(DRAIN_MILLIS);
    publish(entry, target.view());
    assertThat(entry.get(service, "r1").statusCode()).isEqualTo(503);
    assertThat(target.requests()).hasSize(1);
    publish(entry, target.view(TargetPhase.READY, 2));
    assertThat(entry.get(service, "r2").statusCode()).isEqualTo(200);
  }
}
