package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetStatsTest {
  /**
   * Load pattern: an overloaded target rejects most requests. Guards against an estimated time per
   * request that falls with each rejection and makes entries send even more (51 ms was estimated
   * for a target with 31 requests in flight).
   */
  @Test
  void rejectionsAreNotCountedAsCompleted() {
    RoutingState routing = TargetChooserTest.routing(1, true, 0);
    TargetStats target = routing.targets().iterator().next();
    for (int i = 0; i < 3; i++) {
      target.recordSent();
    }
    target.recordRejection();
    target.recordRejection();
    target.recordResponse();
    assertThat(target.inFlight()).isZero();
    assertThat(target.takeCompletedCount()).isEqualTo(1);
  }

  /**
   * Guards against requests that reach a leaving target later than its drain time after the
   * confirmation, which comes before the entry learns of it.
   */
  @Test
  void leavingTargetAcceptsNoRequestNearTheEndOfItsDrainTime() {
    TargetStats target = new TargetStats(spec(TargetPhase.READY), 0);
    target.updateSpec(spec(TargetPhase.DRAINING), 0);
    assertThat(target.acceptsRequests(TimeUnit.MILLISECONDS.toNanos(1_000), 2_000)).isTrue();
    assertThat(target.acceptsRequests(TimeUnit.MILLISECONDS.toNanos(1_100), 2_000)).isFalse();
  }

  /**
   * Guards against requests that wait for a connection beyond the drain time and are then sent, or
   * are sent before and wait half a second on the link of the entry.
   */
  @ParameterizedTest
  @CsvSource({"1499, true", "1500, false", "1900, false", "2200, false"})
  void requestThatWaitedIsSentOnlyWithinTheDrainTime(long millis, boolean expected) {
    TargetStats target = new TargetStats(spec(TargetPhase.READY), 0);
    target.updateSpec(spec(TargetPhase.DRAINING), 0);
    assertThat(target.isReachableInTime(TimeUnit.MILLISECONDS.toNanos(millis), 2_000))
        .isEqualTo(expected);
  }

  /** Guards against a drain time that begins anew in an entry that has just started. */
  @Test
  void targetFirstSeenAsLeavingAcceptsNoRequest() {
    assertThat(new TargetStats(spec(TargetPhase.DRAINING), 0).acceptsRequests(0, 2_000)).isFalse();
  }

  private static OwnershipView.Target spec(TargetPhase phase) {
    return new OwnershipView.Target(
        TargetId.of("a"),
        ServiceName.of("s"),
        new Address("127.0.0.1", 1),
        AvailabilityZone.of("z"),
        2,
        phase,
        1);
  }

  /**
   * Load: a target becomes full while the leader has not yet lowered its limit, or is lost. Guards
   * against an entry that goes on filling it, and against a limit that never rises again.
   */
  @Test
  void ownSignalsLowerTheLimitUntilTheLeaderHasFollowed() {
    TargetStats target = new TargetStats(spec(TargetPhase.READY), 0);
    assertThat(target.concurrencyLimit(0)).isEqualTo(10);
    target.recordOverload(0);
    target.recordOverload(TimeUnit.MILLISECONDS.toNanos(10));
    assertThat(target.concurrencyLimit(TimeUnit.MILLISECONDS.toNanos(20))).isEqualTo(8);
    target.updateLoadEstimate(new TargetLoadEstimate(0, 100, 10));
    assertThat(target.concurrencyLimit(TimeUnit.MILLISECONDS.toNanos(20))).isEqualTo(8);
    assertThat(target.concurrencyLimit(TimeUnit.SECONDS.toNanos(5))).isEqualTo(10);
    target.updateLoadEstimate(new TargetLoadEstimate(0, 100, 7));
    target.updateLoadEstimate(new TargetLoadEstimate(0, 100, 9));
    assertThat(target.concurrencyLimit(TimeUnit.MILLISECONDS.toNanos(30))).isEqualTo(9);
    assertThat(target.takeObservation().overloadSignals()).isEqualTo(2);
    assertThat(target.takeObservation().overloadSignals()).isZero();
  }

  /**
   * Load: a full target resets connections or does not answer. Guards against giving up a target
   * that is only full, and against using one that is lost.
   */
  @ParameterizedTest
  @CsvSource({
    "BROKEN, 6, false",
    "OVERDUE, 6, false",
    "BROKEN, 2, true",
    "OVERDUE, 2, true",
    "GARBLED, 6, true",
    "CONNECT_FAILED, 6, true"
  })
  void failureNearTheLimitIsNoSignOfALostTarget(
      CallFailure failure, int inFlight, boolean isSuspect) {
    TargetStats target = new TargetStats(spec(TargetPhase.READY), 0);
    TargetOverloadRecorder recorder =
        new TargetOverloadRecorder(new EventLog(line -> {}, Map.of()), new SimpleMeterRegistry());
    for (int i = 0; i < 3; i++) {
      target.recordSent();
      recorder.recordFailure(0, target, failure, inFlight);
    }
    assertThat(target.isSuspect(0)).isEqualTo(isSuspect);
    assertThat(target.isLimited(0)).isEqualTo(!isSuspect);
    assertThat(target.inFlight()).isZero();
  }

  /** Guards against fields of the load header that are read as a load although they are none. */
  @ParameterizedTest
  @CsvSource(
      value = {
        "2,3,2 | 5 | 0",
        "2,3,2,310 | 5 | 0",
        "2 3 2 | 5 | 0",
        "-1,3,2 | 3 | 1",
        "x,,2 | 0 | 2",
        "2 | 2 | 2",
        "99999999999,1,2 | 1 | 1",
        "1,2,3,4,5 | 3 | 1",
        "NaN,1e9,0x2,- | 0 | 4"
      },
      delimiter = '|')
  void invalidFieldsOfTheLoadHeaderAreIgnoredAndCounted(String value, int load, double invalid) {
    SimpleMeterRegistry meters = new SimpleMeterRegistry();
    TargetLoadReader reader =
        new TargetLoadReader(RelayFixture.HEADER_NAMES, new EventLog(line -> {}, Map.of()), meters);
    TargetStats target = new TargetStats(spec(TargetPhase.READY), 0);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(RelayFixture.HEADER_NAMES.load(), value);
    reader.read(target, response);
    assertThat(target.takeObservation().reportedLoad()).isEqualTo(load);
    assertThat(meters.counter("coltsfootwheel.target.load.invalid").count()).isEqualTo(invalid);
  }

  /** Guards against a new target that seems faster or slower than all others of its service. */
  @Test
  void newTargetIsFirstEstimatedLikeTheOthersOfItsService() {
    RoutingState routing = TargetChooserTest.routing(1, true, 0);
    routing.updateLoadEstimates(
        1, Map.of(TargetId.of("t0"), new TargetLoadEstimate(0, 550, 14)), 1);
    routing.updateOwnership(
        new OwnershipView(
            List.of(routing.targets().iterator().next().spec(), spec(TargetPhase.READY)),
            List.of()),
        0);
    assertThat(routing.target(TargetId.of("a")).orElseThrow().millisPerRequest()).isEqualTo(550);
  }

  /** Guards against a cancelled request that the leader counts as in flight for another second. */
  @Test
  void cancelledRequestIsReported() {
    RoutingState routing = TargetChooserTest.routing(1, true, 0);
    TargetStats target = routing.targets().iterator().next();
    assertThat(target.needsReport()).isFalse();
    target.recordSent();
    target.takeCompletedCount();
    target.recordCancellation();
    assertThat(target.needsReport()).isTrue();
    target.takeCompletedCount();
    assertThat(target.needsReport()).isFalse();
  }
}
