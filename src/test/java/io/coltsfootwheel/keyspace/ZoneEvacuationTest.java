package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class ZoneEvacuationTest {
  private static final AvailabilityZone ZONE = AvailabilityZone.of("z1");

  /**
   * Guards against keys that are still held in the zone when no request may go there, that no other
   * target holds, or that move without their handover token; also when the leader changes after the
   * commit; and against targets that hold no keys after the end. There is no load, which would move
   * keys for other reasons. A new leader must wait for the end of the leases that calls of the last
   * one may begin.
   */
  @ParameterizedTest
  @CsvSource({
    "HEARTBEAT, false, 2500",
    "HEARTBEAT, true, 2500",
    "CALL, false, 600",
    "CALL, true, 4600"
  })
  void keysMoveOutOfTheZoneWithHandover(
      GrantMethod method, boolean leaderChanges, long limitMillis) {
    for (long seed = 1; seed <= 4; seed++) {
      OwnershipSimulation simulation = new OwnershipSimulation(seed, method);
      simulation.start(12);
      simulation.runWithoutFaults(5_000);
      assertThat(simulation.holdersIn(ZONE)).isPositive();
      int coldBefore = simulation.assignments().cold();
      simulation.setEvacuation(ZONE, true);
      simulation.runWithoutFaults(40);
      if (leaderChanges) {
        simulation.electLeader();
      }
      simulation.runWithoutFaults(limitMillis - 40);
      assertThat(simulation.holdersIn(ZONE)).as(simulation::describe).isZero();
      assertThat(simulation.heldKeys()).isEqualTo(KeyRange.ALL.width());
      assertThat(simulation.assignments().cold()).isEqualTo(coldBefore);
      simulation.runWithoutFaults(5_000);
      assertThat(simulation.holdersIn(ZONE)).isZero();
      simulation.setEvacuation(ZONE, false);
      simulation.runWithoutFaults(6_000);
      assertThat(simulation.holdersIn(ZONE)).isPositive();
    }
  }

  /**
   * Guards against keys without a holder for a whole lease: a new leader takes back keys that the
   * last one granted by call, and has to wait for the end of a grant that may still arrive.
   */
  @Test
  void calledOwnersKeepTheirKeysWhileALateGrantMayArrive() {
    OwnershipSimulation simulation = new OwnershipSimulation(1, GrantMethod.CALL);
    simulation.start(12);
    simulation.runWithoutFaults(5_000);
    simulation.setEvacuation(ZONE, true);
    simulation.runWithoutFaults(40);
    simulation.electLeader();
    simulation.runWithoutFaults(2_000);
    assertThat(simulation.heldKeys()).as(simulation::describe).isEqualTo(KeyRange.ALL.width());
  }

  /** Guards against two holders of a key while zones are evacuated and targets and leaders fail. */
  @ParameterizedTest
  @EnumSource(GrantMethod.class)
  void keysNeverHaveTwoHoldersDuringEvacuations(GrantMethod method) {
    for (long seed = 1; seed <= 5; seed++) {
      OwnershipSimulation simulation = new OwnershipSimulation(seed, method);
      simulation.start(8);
      for (int i = 0; i < 10; i++) {
        simulation.setEvacuation(AvailabilityZone.of("z" + i % 3), i % 2 == 0);
        simulation.runWithFaults(3_000);
      }
      for (int zone = 0; zone < 3; zone++) {
        simulation.setEvacuation(AvailabilityZone.of("z" + zone), false);
      }
      simulation.runWithoutFaults(15_000);
      assertThat(simulation.violations()).isEmpty();
      assertThat(simulation.heldKeys()).as(simulation::describe).isEqualTo(KeyRange.ALL.width());
    }
  }

  /**
   * Guards against first ranges of a service in an evacuated zone, and against a service all of
   * whose targets are evacuated and that has no owners for good.
   */
  @Test
  void firstRangesAreNotPlacedInTheZone() {
    OwnershipLeaderHarness harness = new OwnershipLeaderHarness();
    harness.setEvacuation("e", true);
    harness.register("e1");
    harness.advance(1_320);
    harness.apply(harness.tick());
    assertThat(harness.owner(0)).isEmpty();
    harness.register("other");
    harness.advance(1_320);
    harness.apply(harness.report("e1", TargetPhase.READY));
    harness.apply(harness.report("other", TargetPhase.READY));
    harness.apply(harness.tick());
    assertThat(harness.owners().rangesOf(TargetId.of("other"))).hasSize(1);
    assertThat(harness.owners().rangesOf(TargetId.of("e1"))).isEmpty();
  }

  /** Guards against keys without a holder because no target outside of the zone exists. */
  @Test
  void rangesStayWithoutAnotherTarget() {
    OwnershipLeaderHarness harness = new OwnershipLeaderHarness();
    harness.register("e1");
    harness.register("e2");
    harness.assign(KeyRange.ALL, "e1");
    harness.setEvacuation("e", true);
    assertThat(harness.reportAndGrant("e2", TargetPhase.READY)).isEmpty();
    assertThat(harness.reportAndGrant("e1", TargetPhase.READY)).containsExactly(KeyRange.ALL);
  }

  /**
   * Guards against a range without a holder for good: its owner has released it, the only other
   * target is lost, and the evacuation ends.
   */
  @Test
  void releasedRangeReturnsWhenNoOtherTargetIsLeft() {
    OwnershipLeaderHarness harness = new OwnershipLeaderHarness();
    harness.register("e1");
    harness.register("other");
    harness.assign(KeyRange.ALL, "e1");
    assertThat(harness.reportAndGrant("e1", TargetPhase.READY)).containsExactly(KeyRange.ALL);
    harness.setEvacuation("e", true);
    assertThat(harness.reportAndGrant("e1", TargetPhase.READY)).isEmpty();
    harness.leave("other");
    harness.apply(harness.report("e1", TargetPhase.READY));
    assertThat(harness.reportAndGrant("e1", TargetPhase.READY)).isEmpty();
    harness.setEvacuation("e", false);
    harness.apply(harness.report("e1", TargetPhase.READY));
    assertThat(harness.reportAndGrant("e1", TargetPhase.READY)).containsExactly(KeyRange.ALL);
  }

  /**
   * Guards against a range that an assignment proposed before the start places in the zone, and
   * that waits there for two reports of its owner.
   */
  @Test
  void rangePlacedInTheZoneMeanwhileMovesOnAtOnce() {
    OwnershipLeaderHarness harness = new OwnershipLeaderHarness();
    harness.register("e1");
    harness.register("other");
    harness.setEvacuation("e", true);
    harness.assign(KeyRange.ALL, "e1");
    harness.apply(harness.tick());
    assertThat(harness.owner(0)).isEqualTo("other");
  }

  /** State of before evacuations as an earlier version stored it. */
  private record EarlierSnapshot(
      long index,
      Configuration configuration,
      List<TargetRecord> targets,
      Map<ServiceName, RangeTable> tables) {}

  /** Guards against a confirmed order that is lost with a snapshot, and unreadable old ones. */
  @Test
  void snapshotKeepsTheEvacuatedZones() {
    FleetState started =
        FleetState.empty().apply(1, new FleetCommand.SetZoneEvacuation(ZONE, true));
    FleetState restored = FleetState.fromSnapshot(started.toSnapshot());
    assertThat(restored.evacuatedZones()).containsExactly(ZONE);
    assertThat(restored.apply(2, new FleetCommand.SetZoneEvacuation(ZONE, false)).evacuatedZones())
        .isEmpty();
    byte[] earlier =
        ControlCodec.encode(new EarlierSnapshot(7, Configuration.empty(), List.of(), Map.of()));
    assertThat(FleetState.fromSnapshot(earlier).evacuatedZones()).isEmpty();
    assertThat(FleetState.fromSnapshot(earlier).index()).isEqualTo(7);
  }

  /** Guards against an order of which two copies, or an end before a start, make a difference. */
  @ParameterizedTest
  @ValueSource(strings = {"+", "++", "-+", "+-+", "-", "+-", "+--", ""})
  void theLastOrderInTheLogCounts(String orders) {
    FleetState state = FleetState.empty();
    for (int i = 0; i < orders.length(); i++) {
      boolean evacuated = orders.charAt(i) == '+';
      state = state.apply(i + 1, new FleetCommand.SetZoneEvacuation(ZONE, evacuated));
    }
    assertThat(state.evacuatedZones().contains(ZONE)).isEqualTo(orders.endsWith("+"));
  }

  /**
   * Guards against a target that counts as warm after the end although it may have become cold in
   * the meantime, and against one that counts as cold after it has reported or in another zone.
   */
  @Test
  void targetHasToReportAfterTheEnd() {
    OwnershipLeaderHarness harness = new OwnershipLeaderHarness();
    harness.register("e1");
    harness.register("other");
    harness.setEvacuation("e", true);
    assertThat(harness.hasReportedSinceEvacuation("e1")).isTrue();
    harness.setEvacuation("e", false);
    assertThat(harness.hasReportedSinceEvacuation("e1")).isFalse();
    assertThat(harness.hasReportedSinceEvacuation("other")).isTrue();
    harness.apply(harness.report("e1", TargetPhase.READY));
    assertThat(harness.hasReportedSinceEvacuation("e1")).isTrue();
  }

  /** Guards against entries that are not told which targets are evacuated. */
  @Test
  void viewShowsTheTargetsOfTheZone() {
    FleetState state = FleetState.empty().apply(1, new FleetCommand.SetZoneEvacuation(ZONE, true));
    for (String zone : List.of("z1", "z2")) {
      TargetRecord target =
          new TargetRecord(
              TargetId.of("in-" + zone),
              1,
              ServiceName.of("s"),
              new Address("10.0.0." + zone.charAt(1), 1),
              AvailabilityZone.of(zone),
              2,
              TargetPhase.READY);
      state = state.apply(2, new FleetCommand.RegisterTarget(target));
    }
    OwnershipView view = new OwnershipLeader(OwnershipSettings.of(870, 10_000), state, 1).view(1);
    assertThat(view.targets())
        .extracting(OwnershipView.Target::evacuated)
        .containsExactly(true, false);
  }
}
