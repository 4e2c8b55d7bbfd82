package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.TargetCallResult.Outcome;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class GrantCallsTest {
  private static final long TICK_MILLIS = 20;
  private static final long LIMIT_MILLIS = 20_000;

  private final OwnershipLeaderHarness harness = new OwnershipLeaderHarness(GrantMethod.CALL);

  @BeforeEach
  void assignAllKeysToOneOfTwoTargets() {
    harness.register("a");
    harness.register("b");
    harness.assign(KeyRange.ALL, "a");
  }

  private static List<FleetCommand.Assignment> assignments(List<FleetCommand> commands) {
    return commands.stream()
        .filter(FleetCommand.AssignRanges.class::isInstance)
        .flatMap(c -> ((FleetCommand.AssignRanges) c).assignments().stream())
        .toList();
  }

  /** Drains a target, whose calls all succeed, until another one is assigned its keys. */
  private long millisUntilAssigned() {
    harness.report("b", TargetPhase.READY);
    harness.reportAndGrant("a", TargetPhase.DRAINING);
    return millisUntilAssigned(harness.nowMillis());
  }

  private long millisUntilAssigned(long startMillis) {
    List<FleetCommand.Assignment> assigned = new ArrayList<>();
    while (assigned.isEmpty() && harness.nowMillis() - startMillis < LIMIT_MILLIS) {
      harness.advance(TICK_MILLIS);
      assigned.addAll(assignments(harness.tick()));
      assigned.addAll(assignments(harness.endDueCalls(Outcome.DONE)));
      harness.report("b", TargetPhase.READY);
    }
    return harness.nowMillis() - startMillis;
  }

  /** Guards against keys that stay without a holder although their owner has released them. */
  @Test
  void releasedRangeIsAssignedAtOnce() {
    harness.endDueCalls(Outcome.DONE);
    assertThat(millisUntilAssigned()).isLessThan(1_000);
  }

  /** Guards against a second owner while a grant without an answer may still be carried out. */
  @Test
  void unansweredGrantDelaysTheNextOwner() {
    harness.endDueCalls(Outcome.UNKNOWN);
    assertThat(millisUntilAssigned())
        .isGreaterThanOrEqualTo(OwnershipLeaderHarness.LEASE_MILLIS - 3 * TICK_MILLIS);
  }

  /** Guards against a second owner while a call of the earlier leader is on its way. */
  @Test
  void callsOfTheEarlierLeaderDelayTheNextOwner() {
    harness.endDueCalls(Outcome.DONE);
    harness.electLeader();
    assertThat(millisUntilAssigned())
        .isGreaterThanOrEqualTo(
            OwnershipLeaderHarness.LEASE_MILLIS
                + GrantMethod.CALL.maxLeaseStartDelayMillis()
                - 3 * TICK_MILLIS);
  }

  /** Guards against a call that reaches the next incarnation of a target, which then holds keys. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callToTheEarlierIncarnationDelaysTheNextOwner(boolean isOfEarlierLeader) {
    harness.takeDueCalls();
    if (isOfEarlierLeader) {
      harness.electLeader();
      harness.report("b", TargetPhase.READY);
    }
    harness.apply(harness.report("a", 2, 1_000, TargetPhase.READY));
    harness.apply(harness.report("a", 2, 1_000, TargetPhase.DRAINING));
    harness.grant("a", 2);
    assertThat(millisUntilAssigned(harness.nowMillis()))
        .isGreaterThanOrEqualTo(OwnershipLeaderHarness.LEASE_MILLIS - 3 * TICK_MILLIS);
  }

  /** Guards against a call that reaches another target at the address, which then holds keys. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callToAReusedAddressDelaysTheNextOwner(boolean isOfEarlierLeader) {
    harness.apply(harness.report("c", 1, 2_000, TargetPhase.READY));
    harness.takeDueCalls();
    if (isOfEarlierLeader) {
      harness.electLeader();
    }
    int portOfA = 1_000 + Math.floorMod("a".hashCode(), 1_000);
    harness.apply(harness.report("d", 5, portOfA, TargetPhase.READY));
    assertThat(harness.owner(1)).isEmpty();
    harness.advance(2_000);
    harness.report("b", TargetPhase.READY);
    assertThat(assignments(harness.tick())).isEmpty();
    harness.advance(OwnershipLeaderHarness.LEASE_MILLIS + GrantMethod.MAX_CALL_MILLIS);
    harness.report("b", TargetPhase.READY);
    assertThat(assignments(harness.tick())).isNotEmpty();
  }

  /** Guards against a new leader that gives on the keys of an owner that was just removed. */
  @Test
  void keysWithoutOwnerWaitAfterAnElection() {
    harness.assign(new KeyRange(0, 99), "b");
    harness.apply(
        harness.report("d", 5, 1_000 + Math.floorMod("a".hashCode(), 1_000), TargetPhase.READY));
    harness.assign(new KeyRange(100, 199), "b");
    harness.electLeader();
    harness.advance(2_000);
    harness.report("b", TargetPhase.READY);
    assertThat(assignments(harness.tick())).isEmpty();
    harness.advance(OwnershipLeaderHarness.LEASE_MILLIS);
    harness.report("b", TargetPhase.READY);
    assertThat(assignments(harness.tick())).isNotEmpty();
  }

  /** Guards against a loop of grants that a target refuses because it knows a higher fence. */
  @Test
  void refusedRangeGoesToAnotherTarget() {
    harness.endDueCalls(Outcome.FENCE_TOO_LOW);
    assertThat(harness.takeDueCalls()).noneMatch(TargetCall.Grant.class::isInstance);
  }

  /** Guards against calls for one key that overtake each other. */
  @Test
  void noSecondCallIsSentWhileOneIsInProgress() {
    assertThat(harness.takeDueCalls()).hasSize(1);
    harness.advance(400);
    assertThat(harness.takeDueCalls()).isEmpty();
  }

  /** Guards against a target that cannot be called, but reports, and keeps its keys for ever. */
  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"UNKNOWN", "NOT_DELIVERED"})
  void targetThatDoesNotAnswerCallsLosesItsKeys(Outcome outcome) {
    while (harness.owner(1).equals("a") && harness.nowMillis() < LIMIT_MILLIS) {
      harness.advance(TICK_MILLIS);
      harness.apply(harness.tick());
      harness.apply(harness.endDueCalls(outcome));
      harness.report("a", TargetPhase.READY);
      harness.report("b", TargetPhase.READY);
    }
    assertThat(harness.owner(1)).isEqualTo("b");
  }
}
