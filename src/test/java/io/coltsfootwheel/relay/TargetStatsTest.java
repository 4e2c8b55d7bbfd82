package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.WarmupState;
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
    assertThat(target.isReachableInTime(TimeUnit.MILLISECONDS.toNanos(millis), 2_000, 2_000))
        .isEqualTo(expected);
  }

  /** Guards against a drain time that begins anew in an entry that has just started. */
  @Test
  void targetFirstSeenAsLeavingAcceptsNoRequest() {
    assertThat(new TargetStats(spec(TargetPhase.DRAINING), 0).acceptsRequests(0, 2_000)).isFalse();
  }

  /**
   * Guards against requests that reach an evacuated zone later than its bound, which counts from
   * before the entry learns of it; against unkeyed requests there at any time; and against a target
   * that is taken for leaving or is not used again at once after the end.
   */
  @Test
  void ownerInAnEvacuatedZoneIsUsedUntilTheBoundAndAfterTheEnd() {
    TargetStats target = new TargetStats(spec(TargetPhase.READY), 0);
    target.updateSpec(evacuated("z"), 0);
    // A later view does not begin the time anew.
    target.updateSpec(evacuated("z"), TimeUnit.SECONDS.toNanos(3));
    assertThat(target.acceptsRequests(0, 2_000)).isFalse();
    assertThat(target.isLeaving()).isFalse();
    assertThat(target.isSuspect(0)).isFalse();
    long[][] limitsMillis = {{4_099, 4_499}, {4_100, 4_500}};
    for (int i = 0; i < 2; i++) {
      long sendNanos = TimeUnit.MILLISECONDS.toNanos(limitsMillis[i][0]);
      long writeNanos = TimeUnit.MILLISECONDS.toNanos(limitsMillis[i][1]);
      assertThat(target.acceptsKeyedRequests(sendNanos, 2_000, 5_000)).isEqualTo(i == 0);
      assertThat(target.isReachableInTime(writeNanos, 2_000, 5_000)).isEqualTo(i == 0);
    }
    target.updateSpec(spec(TargetPhase.READY), TimeUnit.SECONDS.toNanos(20));
    long laterNanos = TimeUnit.SECONDS.toNanos(20);
    assertThat(target.acceptsRequests(laterNanos, 2_000)).isTrue();
    assertThat(target.acceptsKeyedRequests(laterNanos, 2_000, 5_000)).isTrue();
    assertThat(target.isReachableInTime(laterNanos, 2_000, 5_000)).isTrue();
    target.updateSpec(evacuated("z"), laterNanos);
    assertThat(target.acceptsKeyedRequests(laterNanos, 2_000, 5_000)).isTrue();
  }

  /**
   * Guards against an evacuation that begins anew in an entry that has just started, or for a
   * target that is registered in a zone evacuated long ago; and against a drain time that it
   * extends.
   */
  @Test
  void evacuatedTargetWithoutKnownStartAcceptsNoRequest() {
    assertThat(new TargetStats(evacuated("z"), 0).acceptsKeyedRequests(0, 2_000, 5_000)).isFalse();
    TargetStats moved = new TargetStats(spec(TargetPhase.READY), 0);
    moved.updateSpec(evacuated("other"), 0);
    assertThat(moved.acceptsKeyedRequests(0, 2_000, 5_000)).isFalse();
    TargetStats leaving = new TargetStats(spec(TargetPhase.READY), 0);
    leaving.updateSpec(spec(TargetPhase.DRAINING, "z", true), 0);
    long nanos = TimeUnit.MILLISECONDS.toNanos(1_100);
    assertThat(leaving.acceptsKeyedRequests(nanos, 2_000, 5_000)).isFalse();
  }

  /**
   * Guards against the loss of what an entry knows when a new leader knows nothing yet, and against
   * a state that is taken over from an earlier incarnation.
   */
  @ParameterizedTest
  @CsvSource({
    "UNKNOWN, 1, UNKNOWN, false",
    "COLD, 1, UNKNOWN, true",
    "COLD, 2, UNKNOWN, false",
    "COLD, 1, WARM, false",
    "WARM, 1, UNKNOWN, false",
    "WARM, 1, COLD, true"
  })
  void unknownWarmupStateKeepsWhatIsKnownOfTheIncarnation(
      WarmupState before, long incarnationMillis, WarmupState after, boolean expected) {
    TargetStats target = new TargetStats(spec(TargetPhase.READY, 1, before), 0);
    target.updateSpec(spec(TargetPhase.READY, incarnationMillis, after), 0);
    assertThat(target.isCold()).isEqualTo(expected);
  }

  /** Guards against the full load on a target that became cold during an evacuation. */
  @Test
  void targetIsColdAfterAnEvacuationUntilItsStateIsKnown() {
    TargetStats target = new TargetStats(spec(TargetPhase.READY, 1, WarmupState.WARM), 0);
    target.setWarmupLimited(true);
    target.updateSpec(spec(TargetPhase.READY, "z", true, 1, WarmupState.WARM), 0);
    target.updateSpec(spec(TargetPhase.READY, 1, WarmupState.UNKNOWN), 0);
    assertThat(target.isCold()).isTrue();
    target.updateSpec(spec(TargetPhase.READY, 1, WarmupState.WARM), 0);
    assertThat(target.isCold()).isFalse();
  }

  private static OwnershipView.Target evacuated(String zone) {
    return spec(TargetPhase.READY, zone, true, 1, WarmupState.UNKNOWN);
  }

  private static OwnershipView.Target spec(TargetPhase phase) {
    return spec(phase, "z", false, 1, WarmupState.UNKNOWN);
  }

  private static OwnershipView.Target spec(TargetPhase phase, String zone, boolean evacuated) {
    return spec(phase, zone, evacuated, 1, WarmupState.UNKNOWN);
  }

  private static OwnershipView.Target spec(
      TargetPhase phase, long incarnationMillis, WarmupState warmup) {
    return spec(phase, "z", false, incarnationMillis, warmup);
  }

  private static OwnershipView.Target spec(
      TargetPhase phase,
      String zone,
      boolean evacuated,
      long incarnationMillis,
      WarmupState warmup) {
    return new OwnershipView.Target(
        TargetId.of("a"),
        ServiceName.of("s"),
        new Address("127.0.0.1", 1),
        AvailabilityZone.of(zone),
        2,
        phase,
        incarnationMillis,
        evacuated,
        warmup);
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
        new TargetOverloadRecorder(
            new EventLog(line -> {}, Map.of()), new SimpleMeterRegistry(), LimitMode.ENFORCE);
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
