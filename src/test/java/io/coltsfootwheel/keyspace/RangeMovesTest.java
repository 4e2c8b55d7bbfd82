package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import org.junit.jupiter.api.Test;

class RangeMovesTest {
  private static final TargetRecord OWNER =
      new TargetRecord(
          TargetId.of("owner"),
          1,
          ServiceName.of("ledger"),
          new Address("10.0.0.1", 1_000),
          AvailabilityZone.of("z"),
          2,
          TargetPhase.READY);

  private static HeartbeatReport report(
      long sequence, List<HeldRange> heldRanges, List<ReleasedRange> released) {
    return new HeartbeatReport(OWNER, sequence, 0, heldRanges, released);
  }

  /**
   * Guards against a cold start at the new owner because a handover token is lost that was sent in
   * an earlier report than the one that completes the release.
   */
  @Test
  void tokensOfAllReportsReachTheNewOwner() {
    ReleasedRange first = new ReleasedRange(new KeyRange(0, 49), "token-1");
    ReleasedRange second = new ReleasedRange(new KeyRange(50, 99), "token-2");
    HeldRange stillHeld = new HeldRange(second.range(), Fence.of(3));
    RangeMoves moves = new RangeMoves();
    moves.start(
        OWNER, new TargetHeartbeat(1, 0, 0, 0, new CallLeases(1)), new KeyRange(0, 99), "busy");

    HeartbeatReport early = report(1, List.of(stillHeld), List.of(first));
    moves.recordReleased(early);
    assertThat(moves.releasedBy(early)).isEmpty();
    HeartbeatReport last = report(2, List.of(), List.of(second));
    moves.recordReleased(last);
    RangeMove released = moves.releasedBy(last).get(0);

    assertThat(RangeMoves.splitByHandoverToken(released, TargetId.of("new")))
        .extracting(FleetCommand.Assignment::handoverToken)
        .containsExactly("token-1", "token-2");
  }
}
