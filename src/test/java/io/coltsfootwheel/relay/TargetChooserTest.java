package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.WarmupState;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.RouteKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetChooserTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final TargetId FIRST = TargetId.of("t0");
  private static final int EQUAL_TARGETS = 10;
  private static final int REQUESTS_PER_TARGET = 100;

  private final TargetChooser chooser =
      new TargetChooser(RandomSource.SPLIT_MIX_64.create(1), AvailabilityZone.of("z0"), 2_000);

  /** Chooser of an entry in a zone without targets, to which all targets are equally far. */
  private final TargetChooser remoteChooser =
      new TargetChooser(RandomSource.SPLIT_MIX_64.create(2), AvailabilityZone.of("remote"), 2_000);

  static RoutingState routing(int targetCount, boolean granted, int readyInMillis) {
    return routing(targetCount, granted, readyInMillis, 0);
  }

  /** Returns the state with targets of which the first ones are cold. */
  private static RoutingState routing(
      int targetCount, boolean granted, int readyInMillis, int coldCount) {
    List<OwnershipView.Target> targetViews = new ArrayList<>();
    for (int i = 0; i < targetCount; i++) {
      targetViews.add(
          new OwnershipView.Target(
              TargetId.of("t" + i),
              SERVICE,
              new Address("10.0.0.1", 1_000 + i),
              AvailabilityZone.of("z" + i),
              2,
              TargetPhase.READY,
              1,
              false,
              i < coldCount ? WarmupState.COLD : WarmupState.WARM));
    }
    RoutingState routing = new RoutingState();
    routing.updateOwnership(
        new OwnershipView(
            targetViews,
            List.of(new OwnershipView.Range(SERVICE, KeyRange.ALL, FIRST, granted, readyInMillis))),
        0);
    return routing;
  }

  /** Returns the owner after setting its requests in flight from other entries. */
  static TargetStats owner(RoutingState routing, int inFlight) {
    routing.updateLoadEstimates(1, Map.of(FIRST, new TargetLoadEstimate(inFlight, 100)), 1);
    return routing.target(FIRST).orElseThrow();
  }

  static RequestConstraints constraints(
      int priority, long remainingMillis, long remainingObjectiveMillis) {
    return new RequestConstraints(
        SERVICE, RouteKind.SAFE, priority, 1, remainingMillis, remainingObjectiveMillis);
  }

  /**
   * Load pattern: one hot key receives three times the capacity of its owner. Guards against a
   * queue in which every request becomes late: admitted requests must be answered within the
   * objective.
   */
  @ParameterizedTest
  @CsvSource({"0", "1", "2"})
  void overloadedOwnerAnswersAdmittedRequestsInTime(int priority) {
    RoutingState routing = routing(1, true, 0);
    TargetStats owner = routing.target(FIRST).orElseThrow();
    routing.updateLoadEstimates(1, Map.of(FIRST, new TargetLoadEstimate(0, 100)), 1);
    long objectiveMillis = 400;
    double[] slotAvailableMillis = new double[2];
    List<Double> completionMillis = new ArrayList<>();
    int inTime = 0;
    int refused = 0;
    for (double nowMillis = 0; nowMillis < 10_000; nowMillis += 16.7) {
      double currentMillis = nowMillis;
      while (completionMillis.stream().anyMatch(completion -> completion <= currentMillis)) {
        completionMillis.remove(
            completionMillis.stream()
                .filter(completion -> completion <= currentMillis)
                .findFirst()
                .orElseThrow());
        owner.recordResponse();
      }
      RoutingDecision decision = chooser.chooseOwner(routing, 5, constraints(priority, 1_000, 400));
      if (decision instanceof RoutingDecision.Send) {
        int slot = slotAvailableMillis[0] <= slotAvailableMillis[1] ? 0 : 1;
        double endMillis = Math.max(nowMillis, slotAvailableMillis[slot]) + 100;
        slotAvailableMillis[slot] = endMillis;
        completionMillis.add(endMillis);
        owner.recordSent();
        inTime += endMillis - nowMillis <= objectiveMillis ? 1 : 0;
      } else {
        refused++;
      }
    }
    assertThat(inTime).isGreaterThan(190);
    assertThat(refused).isGreaterThan(300);
  }

  /** Guards against lower-priority requests that take capacity from higher-priority ones. */
  @Test
  void lowerPriorityRequestsAreRefusedEarlier() {
    RoutingState routing = routing(1, true, 0);
    routing.updateLoadEstimates(1, Map.of(FIRST, new TargetLoadEstimate(5, 110)), 1);
    assertThat(chooser.chooseOwner(routing, 5, constraints(1, 1_000, 400)))
        .isInstanceOf(RoutingDecision.Send.class);
    assertThat(chooser.chooseOwner(routing, 5, constraints(3, 1_000, 400)))
        .isInstanceOf(RoutingDecision.Refuse.class);
  }

  /** Guards against requests that wait for a key that will have no owner before their deadline. */
  @ParameterizedTest
  @CsvSource({"200, 1000, Wait", "900, 1000, Refuse", "200, 100, Refuse"})
  void requestWaitsForItsKeyOnlyWhileItCanBeServed(
      int readyInMillis, long remainingMillis, String expected) {
    RoutingDecision decision =
        chooser.chooseOwner(
            routing(1, false, readyInMillis), 5, constraints(1, remainingMillis, remainingMillis));
    assertThat(decision.getClass().getSimpleName()).isEqualTo(expected);
  }

  /** Guards against requests to an unresponsive target while others respond. */
  @Test
  void unresponsiveTargetIsAvoided() {
    RoutingState routing = routing(2, true, 0);
    TargetStats unresponsive = routing.target(FIRST).orElseThrow();
    for (int i = 0; i < 2; i++) {
      unresponsive.recordSent();
      unresponsive.recordFailure(1);
    }
    RoutingDecision decision = chooser.chooseAny(routing, Set.of(), constraints(1, 1_000, 400));
    assertThat(((RoutingDecision.Send) decision).target().spec().id()).isEqualTo(TargetId.of("t1"));
  }

  /**
   * Guards against a random cost that is drawn anew for each comparison: half of the requests of
   * all entries would go to the last of several equal targets.
   */
  @Test
  void equalTargetsReceiveEqualShares() {
    RoutingState routing = routing(EQUAL_TARGETS, true, 0);
    Map<TargetId, Integer> requests = new HashMap<>();
    for (int i = 0; i < EQUAL_TARGETS * REQUESTS_PER_TARGET; i++) {
      RoutingDecision decision =
          remoteChooser.chooseAny(routing, Set.of(), constraints(1, 1_000, 400));
      requests.merge(((RoutingDecision.Send) decision).target().spec().id(), 1, Integer::sum);
    }
    assertThat(requests).hasSize(EQUAL_TARGETS);
    assertThat(requests.values()).allMatch(n -> n < 2 * REQUESTS_PER_TARGET);
  }

  /** Guards against a wait for a permit that ends too late, and against a refusal too early. */
  @ParameterizedTest
  @CsvSource({"0, 0, 1000, Wait", "1, 0, 1000, Send", "0, 0, 100, Refuse", "0, 60000, 100, Refuse"})
  void keyedRequestForAColdOwnerNeedsAPermit(
      int permits, int waitMillis, long remainingMillis, String expected) {
    RoutingState routing = routing(1, true, 0, 1);
    owner(routing, 0).permits().record(1, new PermitGrant(permits, waitMillis), 1_000);
    RoutingDecision decision =
        chooser.chooseOwner(routing, 5, constraints(1, remainingMillis, remainingMillis));
    assertThat(decision.getClass().getSimpleName()).isEqualTo(expected);
  }

  /** Guards against a wait of all requests for permits that suffice for few of them. */
  @Test
  void onlyAShareOfTheRequestsWaitsForScarcePermits() {
    RoutingState routing = routing(1, true, 0, 1);
    owner(routing, 0).permits().record(1, new PermitGrant(0, 6_000), 1_000);
    int waiting = 0;
    for (int i = 0; i < 1_000; i++) {
      RoutingDecision decision = chooser.chooseOwner(routing, 5, constraints(1, 1_000, 1_000));
      waiting += decision instanceof RoutingDecision.Wait ? 1 : 0;
    }
    assertThat(waiting).isBetween(50, 150);
  }

  /**
   * Guards against unkeyed requests that a cold target receives without a permit, or that it would
   * serve too late while warm targets serve them in time, and against permits that are never used.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 2, 400, 200, t0",
    "0, 2, 400, 200, t1",
    "1, 2, 150, 200, t1",
    "1, 2, 150, 90, t0",
    "1, 1, 400, 200, t0",
    "0, 1, 400, 200, Wait"
  })
  void unkeyedRequestUsesAPermitWhenTheColdTargetIsFastEnough(
      int permits, int targets, long objectiveMillis, long validMillis, String expected) {
    RoutingState routing = routing(targets, true, 0, 1);
    owner(routing, 0)
        .permits()
        .record(1, new PermitGrant(permits, 0), TimeUnit.MILLISECONDS.toNanos(validMillis));
    RoutingDecision decision =
        chooser.chooseAny(routing, Set.of(), constraints(1, 1_000, objectiveMillis));
    assertThat(
            decision instanceof RoutingDecision.Send send
                ? send.target().spec().id().value()
                : decision.getClass().getSimpleName())
        .isEqualTo(expected);
  }

  /** Guards against downloads from another zone while the local zone has capacity. */
  @Test
  void downloadStaysInTheLocalZone() {
    RoutingState routing = routing(3, true, 0);
    RequestConstraints download =
        new RequestConstraints(SERVICE, RouteKind.DOWNLOAD, 1, 1, 1_000, 400);
    for (int i = 0; i < 20; i++) {
      RoutingDecision decision = chooser.chooseAny(routing, Set.of(), download);
      assertThat(((RoutingDecision.Send) decision).target().spec().id()).isEqualTo(FIRST);
    }
  }

  /**
   * Guards against requests to the targets of an evacuated zone: unkeyed ones at any time, also
   * when there is no other target, and keyed ones that are chosen or still wait after the bound.
   */
  @Test
  void evacuatedZoneReceivesOnlyKeyedRequestsUntilTheBound() {
    TargetChooser bounded =
        new TargetChooser(
            RandomSource.SPLIT_MIX_64.create(3), AvailabilityZone.of("z0"), 2_000, 901);
    RoutingState routing = routing(2, true, 0);
    TargetStats owner = routing.target(FIRST).orElseThrow();
    owner.updateSpec(evacuated(owner.spec()), 0);
    for (int i = 0; i < 20; i++) {
      RoutingDecision any = bounded.chooseAny(routing, Set.of(), constraints(1, 1_000, 400));
      assertThat(((RoutingDecision.Send) any).target().spec().id()).isEqualTo(TargetId.of("t1"));
    }
    assertThat(bounded.chooseOwner(routing, 5, constraints(1, 1_000, 400)))
        .isInstanceOf(RoutingDecision.Send.class);
    assertThat(bounded.maySend(routing, owner, 400_000_000L)).isTrue();
    assertThat(bounded.maySend(routing, owner, 401_000_000L)).isFalse();
    TargetStats other = routing.target(TargetId.of("t1")).orElseThrow();
    other.updateSpec(evacuated(other.spec()), 0);
    assertThat(bounded.chooseAny(routing, Set.of(), constraints(1, 1_000, 400)))
        .isInstanceOf(RoutingDecision.Refuse.class);
    RequestConstraints late =
        new RequestConstraints(SERVICE, RouteKind.SAFE, 1, 1_000_000, 1_000, 400);
    assertThat(bounded.chooseOwner(routing, 5, late)).isInstanceOf(RoutingDecision.Wait.class);
  }

  /** Returns a target as the leader shows it during the evacuation of its zone. */
  static OwnershipView.Target evacuated(OwnershipView.Target spec) {
    return new OwnershipView.Target(
        spec.id(),
        spec.service(),
        spec.address(),
        spec.zone(),
        spec.slots(),
        spec.phase(),
        spec.incarnationMillis(),
        true,
        spec.warmup());
  }
}
