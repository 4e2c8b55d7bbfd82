package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.WarmupState;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
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
