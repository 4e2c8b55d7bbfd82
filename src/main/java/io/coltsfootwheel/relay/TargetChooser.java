package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target of a request, or refuses a request that cannot be served in time.
 *
 * <p>A keyed request goes to the owner of its key. While the key moves, the request waits if it can
 * still be served afterwards. An unkeyed request goes to the target with the lowest cost, which is
 * mainly its expected response time. {@link AdmissionPolicy} then admits or refuses the request.
 */
final class TargetChooser {
  /** Traffic between availability zones is expensive, and bulk requests transfer many bytes. */
  private static final double CROSS_ZONE_BULK_PENALTY_MILLIS = 150;

  private static final double CROSS_ZONE_PENALTY_MILLIS = 10;

  /** Longest wait for a key without a usable owner, as a fraction of the remaining time. */
  private static final double MAX_WAIT_RATIO = 0.6;

  /**
   * Largest relative random increase of an expected response time, so that entries with the same
   * data choose different targets.
   */
  private static final double JITTER_RATIO = 0.3;

  private static final long MIN_RETRY_DELAY_MILLIS = 50;
  private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

  /** Assumed time until a key whose owner is unknown or leaving has a usable owner. */
  private static final long EXPECTED_REASSIGNMENT_MILLIS = 300;

  private static final long MIN_WAIT_MILLIS = 20;

  /**
   * Time until a permit can arrive: half of the interval between two reports, a tick of the leader,
   * a quorum round, and the way there and back.
   */
  private static final long PERMIT_DELAY_MILLIS = 120;

  /**
   * Penalties of targets that are used only as a last resort. Their sizes set the preference: first
   * a target that is not ready, then a suspect one, then one that was already tried.
   */
  private static final double NOT_READY_PENALTY_MILLIS = 1e5;

  private static final double SUSPECT_PENALTY_MILLIS = 1e6;
  private static final double TRIED_PENALTY_MILLIS = 1e7;

  private static final String PAUSED = "target wants no requests for a time";
  private static final String COLD = "target is cold and its permits are used";

  private final UniformRandomProvider random;
  private final AvailabilityZone zone;
  private final long drainMillis;

  TargetChooser(UniformRandomProvider random, AvailabilityZone zone, long drainMillis) {
    this.random = random;
    this.zone = zone;
    this.drainMillis = drainMillis;
  }

  /** Decides whether a keyed request is sent to the owner of its key, waits or is refused. */
  RoutingDecision chooseOwner(RoutingState routing, int key, RequestConstraints constraints) {
    ServiceName service = constraints.service();
    long nowNanos = constraints.nowNanos();
    long remainingMillis = constraints.remainingMillis();
    Optional<OwnershipView.Range> range = routing.rangeOf(service, key);
    if (range.isEmpty()) {
      return waitOrRefuse("key has no owner", EXPECTED_REASSIGNMENT_MILLIS, remainingMillis);
    }
    if (!range.get().granted()) {
      return waitOrRefuse("key is moving", range.get().readyInMillis(), remainingMillis);
    }
    Optional<TargetStats> owner = routing.target(range.get().owner());
    long pauseMillis = owner.map(o -> o.remainingPauseMillis(nowNanos)).orElse(0L);
    if (pauseMillis > 0) {
      return new RoutingDecision.Refuse(PAUSED, pauseMillis, owner);
    }
    if (owner.isEmpty() || !owner.get().acceptsRequests(nowNanos, drainMillis)) {
      return waitOrRefuse("owner is leaving", EXPECTED_REASSIGNMENT_MILLIS, remainingMillis);
    }
    if (owner.get().isSuspect(nowNanos)) {
      return new RoutingDecision.Refuse("owner does not answer", MAX_RETRY_DELAY_MILLIS);
    }
    return owner.get().isCold()
        ? chooseCold(owner.get(), constraints)
        : AdmissionPolicy.admit(owner.get(), constraints);
  }

  /**
   * Decides on a request for a cold target: it is sent with a permit only. When entries wait for
   * more permits than are granted within the longest wait, only a share of the requests waits.
   */
  private RoutingDecision chooseCold(TargetStats target, RequestConstraints constraints) {
    if (target.permits().available(constraints.nowNanos()) > 0) {
      return AdmissionPolicy.admit(target, constraints);
    }
    long maxWaitMillis = (long) (constraints.remainingMillis() * MAX_WAIT_RATIO);
    long fleetWaitMillis = target.permits().waitMillis(constraints.nowNanos());
    boolean waits =
        constraints.awaitsPermit() || random.nextDouble() * fleetWaitMillis < maxWaitMillis;
    if (maxWaitMillis < PERMIT_DELAY_MILLIS || !waits) {
      return refuseFor(COLD, Math.max(PERMIT_DELAY_MILLIS, fleetWaitMillis));
    }
    return new RoutingDecision.Wait(maxWaitMillis, COLD, Optional.of(target));
  }

  /**
   * Decides on an unkeyed request; a target already tried is used only if no other is left.
   *
   * <p>Without a leader, all entries keep the same old load estimates. They would all send to the
   * targets that were idle then, so old estimates lose their weight, which spreads the requests.
   */
  RoutingDecision chooseAny(
      RoutingState routing, Set<TargetId> triedTargets, RequestConstraints constraints) {
    double othersWeight = routing.loadEstimateWeight(constraints.nowNanos());
    List<TargetStats> targets = routing.targetsOf(constraints.service());
    List<TargetStats> usable =
        targets.stream()
            .filter(t -> t.acceptsRequests(constraints.nowNanos(), drainMillis))
            .toList();
    List<TargetStats> cold =
        usable.stream().filter(t -> t.isCold() && !t.isSuspect(constraints.nowNanos())).toList();
    Optional<TargetStats> toWarmUp =
        ColdTargetPolicy.targetToWarmUp(cold, triedTargets, constraints);
    if (toWarmUp.isPresent()) {
      return new RoutingDecision.Send(toWarmUp.get());
    }
    List<TargetStats> candidates = usable.stream().filter(t -> !t.isCold()).toList();
    if (candidates.isEmpty() && !cold.isEmpty()) {
      return chooseCold(ColdTargetPolicy.leastAwaited(cold, constraints), constraints);
    }
    if (candidates.isEmpty()) {
      return refuseWithoutCandidates(targets, constraints.nowNanos());
    }
    TargetStats cheapest = candidates.get(0);
    double lowestCostMillis = Double.POSITIVE_INFINITY;
    // The cost is random, so it is computed once for each candidate. A comparator would draw it
    // anew for each comparison, which prefers the last candidates.
    for (TargetStats candidate : candidates) {
      boolean alreadyTried = triedTargets.contains(candidate.spec().id());
      double costMillis = costMillis(candidate, alreadyTried, constraints, othersWeight);
      if (costMillis < lowestCostMillis) {
        lowestCostMillis = costMillis;
        cheapest = candidate;
      }
    }
    return AdmissionPolicy.admit(cheapest, constraints, othersWeight);
  }

  /** Refuses a request whose service has no usable target, until the first pause of one ends. */
  private static RoutingDecision refuseWithoutCandidates(List<TargetStats> targets, long nowNanos) {
    Optional<TargetStats> firstUsable =
        targets.stream()
            .filter(t -> t.remainingPauseMillis(nowNanos) > 0)
            .min(Comparator.comparingLong(t -> t.remainingPauseMillis(nowNanos)));
    return firstUsable.isPresent()
        ? new RoutingDecision.Refuse(
            PAUSED, firstUsable.get().remainingPauseMillis(nowNanos), firstUsable)
        : new RoutingDecision.Refuse("service has no targets", MAX_RETRY_DELAY_MILLIS);
  }

  /**
   * Returns whether a request that waited for a connection to its chosen target may still be sent:
   * the target has not been removed, and its drain time has not ended.
   */
  boolean maySend(RoutingState routing, TargetStats chosenTarget, long nowNanos) {
    return routing
        .target(chosenTarget.spec().id())
        .filter(t -> t == chosenTarget && t.isReachableInTime(nowNanos, drainMillis))
        .isPresent();
  }

  private double costMillis(
      TargetStats target,
      boolean alreadyTried,
      RequestConstraints constraints,
      double othersWeight) {
    double jitterFactor = 1 + JITTER_RATIO * random.nextDouble();
    double crossZonePenaltyMillis =
        constraints.kind().isBulk() ? CROSS_ZONE_BULK_PENALTY_MILLIS : CROSS_ZONE_PENALTY_MILLIS;
    return target.expectedResponseMillis(othersWeight) * jitterFactor
        + (target.spec().zone().equals(zone) ? 0 : crossZonePenaltyMillis)
        + (alreadyTried ? TRIED_PENALTY_MILLIS : 0)
        + (target.isSuspect(constraints.nowNanos()) ? SUSPECT_PENALTY_MILLIS : 0)
        + (target.isLeaving() ? NOT_READY_PENALTY_MILLIS : 0);
  }

  private static RoutingDecision waitOrRefuse(
      String reason, long readyInMillis, long remainingMillis) {
    if (readyInMillis > remainingMillis * MAX_WAIT_RATIO) {
      return refuseFor(reason, readyInMillis);
    }
    return new RoutingDecision.Wait(
        Math.max(MIN_WAIT_MILLIS, (long) (remainingMillis * MAX_WAIT_RATIO)), reason);
  }

  private static RoutingDecision refuseFor(String reason, long readyInMillis) {
    return new RoutingDecision.Refuse(
        reason, Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(MIN_RETRY_DELAY_MILLIS, readyInMillis)));
  }
}
