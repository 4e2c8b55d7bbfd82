package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.loadcontrol.FirstRequest;
import io.coltsfootwheel.loadcontrol.SelectionNeed;
import io.coltsfootwheel.loadcontrol.SelectionStep;
import io.coltsfootwheel.loadcontrol.SlotReserve;
import io.coltsfootwheel.loadcontrol.TargetCandidate;
import io.coltsfootwheel.loadcontrol.TargetSelection;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chooses the target of a request, or refuses a request that cannot be served in time.
 *
 * <p>A keyed request goes to the owner of its key. While the key moves, the request waits if it can
 * still be served afterwards. The target of an unkeyed request is selected by {@link
 * TargetSelection}. {@link AdmissionPolicy} then admits or refuses the request.
 */
final class TargetChooser {
  /** Longest wait for a key without a usable owner, as a fraction of the remaining time. */
  private static final double MAX_WAIT_RATIO = 0.6;

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

  private static final String PAUSED = "target wants no requests for a time";
  private static final String COLD = "target is cold and its permits are used";

  private final UniformRandomProvider random;
  private final AvailabilityZone zone;
  private final long drainMillis;
  private final long evacuationMillis;
  private final Predicate<OwnershipView.Target> hasIdleConnection;
  private final SlotsReserved slotsReserved;

  /** Distinguishes this entry from others in {@link FirstRequest}. */
  private final long entrySalt;

  private final Map<SelectionStep, Long> selections = new EnumMap<>(SelectionStep.class);

  private long withheldCount;

  /** Slots of a service that are reserved against the requests of a priority. */
  @FunctionalInterface
  interface SlotsReserved {
    int against(ServiceName service, int priority, long nowNanos);
  }

  /**
   * Creates a chooser for an entry without idle connections and reserved slots that sends to an
   * evacuated zone for the drain time.
   */
  TargetChooser(UniformRandomProvider random, AvailabilityZone zone, long drainMillis) {
    this(random, zone, drainMillis, drainMillis);
  }

  /** Creates a chooser for an entry without idle connections and reserved slots. */
  TargetChooser(
      UniformRandomProvider random,
      AvailabilityZone zone,
      long drainMillis,
      long evacuationMillis) {
    this(
        random,
        zone,
        drainMillis,
        evacuationMillis,
        target -> false,
        (service, priority, nowNanos) -> 0);
  }

  TargetChooser(
      UniformRandomProvider random,
      AvailabilityZone zone,
      long drainMillis,
      long evacuationMillis,
      Predicate<OwnershipView.Target> hasIdleConnection,
      SlotsReserved slotsReserved) {
    this.random = random;
    this.zone = zone;
    this.drainMillis = drainMillis;
    this.evacuationMillis = evacuationMillis;
    this.hasIdleConnection = hasIdleConnection;
    this.slotsReserved = slotsReserved;
    this.entrySalt = random.nextLong();
  }

  /** Returns for how many unkeyed requests targets were withheld for more urgent ones. */
  long withheldCount() {
    return withheldCount;
  }

  /** Returns how many targets of unkeyed requests were found in a step of the selection. */
  long selectionCount(SelectionStep step) {
    return selections.getOrDefault(step, 0L);
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
    if (owner.isEmpty()
        || !owner.get().acceptsKeyedRequests(nowNanos, drainMillis, evacuationMillis)) {
      boolean isEvacuated = owner.filter(TargetStats::isEvacuated).isPresent();
      String reason = isEvacuated ? "zone of the owner is evacuated" : "owner is leaving";
      return waitOrRefuse(reason, EXPECTED_REASSIGNMENT_MILLIS, remainingMillis);
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
    List<TargetStats> open = openTargets(candidates, triedTargets, constraints, othersWeight);
    TargetSelection<TargetStats> selection =
        new TargetSelection<>(
            random,
            target -> properties(target, triedTargets, constraints.nowNanos(), othersWeight),
            new SelectionNeed(
                Math.min(constraints.remainingObjectiveMillis(), constraints.remainingMillis()),
                constraints.kind().isBulk()));
    TargetSelection.Selected<TargetStats> selected =
        selection.select(grouped(open, constraints.nowNanos(), routing.entryCount())).orElseThrow();
    if (!constraints.dryRun()) {
      selections.merge(selected.step(), 1L, Long::sum);
    }
    return AdmissionPolicy.admit(selected.target(), constraints, othersWeight);
  }

  /** Returns the candidates without those that are reserved for more urgent requests now. */
  private List<TargetStats> openTargets(
      List<TargetStats> candidates,
      Set<TargetId> triedTargets,
      RequestConstraints constraints,
      double othersWeight) {
    long nowNanos = constraints.nowNanos();
    int reserved = slotsReserved.against(constraints.service(), constraints.priority(), nowNanos);
    if (reserved == 0) {
      return candidates;
    }
    List<SlotReserve.SlotUse<TargetStats>> uses =
        candidates.stream()
            .map(
                t ->
                    new SlotReserve.SlotUse<>(
                        t,
                        t.slots(),
                        t.estimatedInFlight(othersWeight),
                        t.millisPerRequest(),
                        !triedTargets.contains(t.spec().id())
                            && !t.isSuspect(nowNanos)
                            && !t.isLeaving()))
            .toList();
    List<TargetStats> open = SlotReserve.openTargets(uses, reserved);
    withheldCount += !constraints.dryRun() && open.size() < candidates.size() ? 1 : 0;
    return open;
  }

  private TargetSelection.Targets<TargetStats> grouped(
      List<TargetStats> candidates, long nowNanos, int entryCount) {
    Map<Boolean, List<TargetStats>> byOwnZone =
        candidates.stream().collect(Collectors.partitioningBy(this::isInOwnZone));
    return new TargetSelection.Targets<>(
        byOwnZone.get(true),
        byOwnZone.get(false),
        candidates.stream().filter(t -> isFirstRequestDue(t, nowNanos, entryCount)).toList());
  }

  private boolean isInOwnZone(TargetStats target) {
    return target.spec().zone().equals(zone);
  }

  private boolean isFirstRequestDue(TargetStats target, long nowNanos, int entryCount) {
    if (target.joinedNanos().isEmpty()) {
      return false;
    }
    long seed = entrySalt ^ target.spec().id().hashCode() ^ target.spec().incarnationMillis();
    double entryShare = RandomSource.SPLIT_MIX_64.create(seed).nextDouble();
    return FirstRequest.isDue(nowNanos, target.joinedNanos().getAsLong(), entryCount, entryShare);
  }

  private TargetCandidate properties(
      TargetStats target, Set<TargetId> triedTargets, long nowNanos, double othersWeight) {
    int millisPerRequest = target.millisPerRequest();
    return new TargetCandidate(
        target.slots(),
        millisPerRequest,
        target.expectedResponseMillis(othersWeight) - millisPerRequest,
        isInOwnZone(target),
        hasIdleConnection.test(target.spec()),
        triedTargets.contains(target.spec().id()),
        target.isSuspect(nowNanos),
        target.isLeaving());
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
   * the target has not been removed, and neither its drain time nor the evacuation time of its zone
   * has ended.
   */
  boolean maySend(RoutingState routing, TargetStats chosenTarget, long nowNanos) {
    return routing
        .target(chosenTarget.spec().id())
        .filter(
            t -> t == chosenTarget && t.isReachableInTime(nowNanos, drainMillis, evacuationMillis))
        .isPresent();
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
