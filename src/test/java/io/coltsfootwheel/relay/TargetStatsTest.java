package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

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
