package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Starts the moves of ranges during the term of one leader: away from targets that are busy, leave,
 * are lost, are in an evacuated zone or cannot be granted keys, and to targets that have none.
 */
final class MoveStarter {
  /**
   * Age of the term before which no range moves to a target without keys. In a new term, targets
   * must have had time to report before they count as idle.
   */
  private static final long REBALANCE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Reason of moves that bring keys out of an evacuated zone. */
  static final String ZONE_EVACUATED = "zone is evacuated";

  private final HeartbeatMonitor heartbeats;
  private final RangeMoves moves;
  private final LoadStatistics loadStatistics;
  private final RangePlacement placement;
  private final Set<TargetId> pendingRemovals;
  private final KeyedServices keyedServices;
  private final long termStartNanos;
  private FleetState state;
  private boolean hasStarted;

  /** Loads of services that the answers of one quorum round share, all as of one time. */
  private final Map<ServiceName, RoundLoad> loadsOfRound = new HashMap<>();

  private long roundNanos;

  /**
   * Creates a component that reads the mutable state of the leader.
   *
   * @param heartbeats reports and leases of all targets
   * @param moves moves in progress, to which new ones are added
   * @param loadStatistics load of keys and targets
   * @param placement chooses the targets that can receive ranges
   * @param pendingRemovals targets whose removal is proposed and not yet applied
   * @param keyedServices the keyed services
   * @param state replicated state at the start of the term
   * @param termStartNanos start of the term
   */
  MoveStarter(
      HeartbeatMonitor heartbeats,
      RangeMoves moves,
      LoadStatistics loadStatistics,
      RangePlacement placement,
      Set<TargetId> pendingRemovals,
      KeyedServices keyedServices,
      FleetState state,
      long termStartNanos) {
    this.heartbeats = heartbeats;
    this.moves = moves;
    this.loadStatistics = loadStatistics;
    this.placement = placement;
    this.pendingRemovals = pendingRemovals;
    this.keyedServices = keyedServices;
    this.state = state;
    this.termStartNanos = termStartNanos;
  }

  /** Replaces the replicated state. */
  void setState(FleetState newState) {
    state = newState;
  }

  /** Discards the loads that were computed from earlier observations. */
  void clearLoads() {
    loadsOfRound.clear();
  }

  /**
   * Load of a service, computed once for all grants of a round.
   *
   * @param load load of its targets
   * @param idleTargets targets that report and have no keys
   * @param coldLimitPerSecond requests per second that an idle target sustains when all idle
   *     targets are cold
   */
  private record RoundLoad(ServiceLoad load, long idleTargets, OptionalDouble coldLimitPerSecond) {}

  /** Returns whether a move was started since the last call, and resets the flag. */
  boolean takeHasStarted() {
    boolean taken = hasStarted;
    hasStarted = false;
    return taken;
  }

  void startMoves(long nowNanos, TargetRecord target, TargetHeartbeat heartbeat) {
    List<OwnedRange> owned = stableRanges(target);
    if (owned.isEmpty()) {
      return;
    }
    RoundLoad round = loadOfRound(nowNanos, target.service());
    ServiceLoad load = round.load();
    if (load.receivers().stream().allMatch(t -> t.id().equals(target.id()))) {
      return;
    }
    if (target.phase() != TargetPhase.READY) {
      owned.forEach(r -> startMove(target, heartbeat, r.range(), "target is leaving"));
      return;
    }
    if (state.isEvacuated(target)) {
      if (keyedServices.grantMethod(target.service()) == GrantMethod.HEARTBEAT) {
        owned.forEach(r -> startMove(target, heartbeat, r.range(), ZONE_EVACUATED));
      }
      return;
    }
    KeyLoad keys = loadStatistics.keyLoad(target.service());
    List<KeyRange> parts =
        RangePlanner.rangesToOffload(
            nowNanos, target, grantedRanges(nowNanos, target, heartbeat), load, keys);
    parts.forEach(r -> startMove(target, heartbeat, r, "target is busy"));
    RangePlanner.hotKeyToRelocate(
            nowNanos, target, grantedRanges(nowNanos, target, heartbeat), load, keys)
        .ifPresent(r -> startMove(target, heartbeat, r, "another target is much faster"));
    RangePlanner.isolatedColdRange(
            nowNanos, target, grantedRanges(nowNanos, target, heartbeat), load, keys)
        .ifPresent(r -> startMove(target, heartbeat, r, "ranges can be joined"));
    if (parts.isEmpty() && isAmongBusiest(target, round)) {
      RangePlanner.halfOfLoad(
              nowNanos,
              target,
              grantedRanges(nowNanos, target, heartbeat),
              load,
              keys,
              round.coldLimitPerSecond())
          .ifPresent(r -> startMove(target, heartbeat, r, "another target has no keys"));
    }
  }

  /**
   * Returns the load of a service. Grants are sent in rounds, so all grants at one time use one
   * result until a move starts; computing it for each grant would cost the square of the targets.
   */
  private RoundLoad loadOfRound(long nowNanos, ServiceName service) {
    if (nowNanos != roundNanos) {
      loadsOfRound.clear();
      roundNanos = nowNanos;
    }
    return loadsOfRound.computeIfAbsent(service, s -> computeLoad(nowNanos, s));
  }

  private RoundLoad computeLoad(long nowNanos, ServiceName service) {
    ServiceLoad load = placement.load(nowNanos, service, state);
    List<TargetRecord> idleTargets =
        load.receivers().stream()
            .filter(t -> state.table(t.service()).rangesOf(t.id()).isEmpty())
            .filter(t -> isEstablished(nowNanos, t.id()))
            .toList();
    boolean allCold = idleTargets.stream().allMatch(t -> load.coldLimitPerSecond(t).isPresent());
    OptionalDouble coldLimitPerSecond =
        idleTargets.stream()
            .flatMapToDouble(t -> load.coldLimitPerSecond(t).stream())
            .filter(limit -> allCold)
            .min();
    return new RoundLoad(load, idleTargets.size(), coldLimitPerSecond);
  }

  /**
   * Starts moves of the ranges that their owner was never granted, when it stopped to report or its
   * zone is evacuated: its assignment may have been proposed before the evacuation. No answer of
   * this term contains such a range, and the new term took all ranges of its start as granted, so
   * there is no lease whose end must be awaited.
   */
  List<RangeMove> startUngrantedMoves(long nowNanos) {
    List<RangeMove> started = new ArrayList<>();
    for (TargetRecord target : state.targets()) {
      if (!keyedServices.contains(target.service()) || pendingRemovals.contains(target.id())) {
        continue;
      }
      if (!heartbeats.isReporting(nowNanos, target.id())) {
        started.addAll(startUngrantedMoves(nowNanos, target, "owner was lost"));
      } else if (state.isEvacuated(target)) {
        started.addAll(startUngrantedMoves(nowNanos, target, ZONE_EVACUATED));
      }
    }
    return started;
  }

  private List<RangeMove> startUngrantedMoves(long nowNanos, TargetRecord owner, String reason) {
    Optional<TargetHeartbeat> heartbeat =
        heartbeats.find(owner.id()).filter(h -> h.incarnationMillis() == owner.incarnationMillis());
    List<OwnedRange> whole = state.table(owner.service()).rangesOf(owner.id());
    // A call to the earlier incarnation may have reached this one.
    boolean isCalled = keyedServices.grantMethod(owner.service()) == GrantMethod.CALL;
    List<OwnedRange> ungranted =
        stableRanges(owner).stream()
            .filter(whole::contains)
            .filter(r -> heartbeat.filter(h -> !h.mayHaveBeenGranted(r)).isPresent())
            .filter(r -> !isCalled || !heartbeat.get().isAnsweredLeaseInForce(nowNanos))
            .toList();
    if (ungranted.isEmpty()
        || placement.receivers(nowNanos, owner.service(), owner.id(), state).isEmpty()) {
      return List.of();
    }
    loadsOfRound.clear();
    hasStarted = true;
    return ungranted.stream()
        .map(r -> moves.startUngranted(owner, heartbeat.orElseThrow(), r, reason))
        .toList();
  }

  /**
   * Returns whether a target should give keys to a target that has none. Each move in progress is
   * taken to supply one of the targets without keys. If n more targets have no keys, the n targets
   * with the highest utilisation give keys.
   */
  private boolean isAmongBusiest(TargetRecord target, RoundLoad round) {
    ServiceLoad load = round.load();
    long moving = moves.count(target.service());
    if (round.idleTargets() <= moving) {
      return false;
    }
    double utilisation = load.utilisation(target);
    long busierTargets =
        load.receivers().stream().filter(t -> load.utilisation(t) > utilisation).count();
    return busierTargets < round.idleTargets() - moving;
  }

  /**
   * Returns whether the term is older than {@link #REBALANCE_DELAY_NANOS} and a target has reported
   * at least twice in it.
   */
  private boolean isEstablished(long nowNanos, TargetId target) {
    return nowNanos - termStartNanos > REBALANCE_DELAY_NANOS
        && heartbeats.find(target).filter(h -> h.reports() >= 2).isPresent();
  }

  /**
   * Returns the ranges that were granted to a target in an earlier answer; only these may be split
   * or moved. If a part of a range moved on before its first grant, the handover token of the last
   * holder would be lost for the whole range, because a token is valid for its exact range. A range
   * for which a call had no answer stays until it is known that no late grant can follow.
   */
  List<OwnedRange> grantedRanges(long nowNanos, TargetRecord target, TargetHeartbeat heartbeat) {
    boolean isCalled = keyedServices.grantMethod(target.service()) == GrantMethod.CALL;
    return stableRanges(target).stream()
        .filter(
            r ->
                isCalled
                    ? heartbeat.callLeases().isHeld(nowNanos, r.range())
                        && !GrantCalls.isArrivalUncertain(nowNanos, heartbeat, r.range())
                    : r.fence().value() <= heartbeat.grantedIndex())
        .toList();
  }

  /**
   * Starts moves of the keys of called targets that have left, that do not answer calls, or whose
   * zone is evacuated. Targets of other services release all keys of which an answer to their
   * reports says nothing.
   */
  void startMovesOfCalledTargets(long nowNanos) {
    for (TargetRecord target : state.targets()) {
      if (keyedServices.grantMethod(target.service()) != GrantMethod.CALL
          || pendingRemovals.contains(target.id())) {
        continue;
      }
      boolean hasLeft = target.phase() == TargetPhase.LEFT;
      Optional<TargetHeartbeat> heartbeat = heartbeats.find(target.id());
      if (heartbeat.filter(h -> hasLeft || h.callLeases().isFailing(nowNanos)).isPresent()) {
        String reason = hasLeft ? "target has left" : "target does not answer calls";
        startMovesOf(stableRanges(target), target, heartbeat.get(), nowNanos, reason);
      } else if (state.isEvacuated(target)) {
        heartbeat
            .filter(h -> h.incarnationMillis() == target.incarnationMillis())
            .ifPresent(
                h ->
                    startMovesOf(
                        certainRanges(nowNanos, target, h), target, h, nowNanos, ZONE_EVACUATED));
      }
    }
  }

  /**
   * Returns the ranges of a called target of which no late grant can follow. Any other range would
   * have no holder from its release until the end of the lease that such a grant may begin.
   */
  private List<OwnedRange> certainRanges(
      long nowNanos, TargetRecord target, TargetHeartbeat heartbeat) {
    return stableRanges(target).stream()
        .filter(r -> !GrantCalls.isArrivalUncertain(nowNanos, heartbeat, r.range()))
        .toList();
  }

  private void startMovesOf(
      List<OwnedRange> ranges,
      TargetRecord target,
      TargetHeartbeat heartbeat,
      long nowNanos,
      String reason) {
    boolean hasReceiver =
        !ranges.isEmpty()
            && !placement.receivers(nowNanos, target.service(), target.id(), state).isEmpty();
    if (hasReceiver) {
      ranges.forEach(r -> startMove(target, heartbeat, r.range(), reason));
    }
  }

  /** Gives up a range for which its owner knows a higher fence; the next owner gets a new one. */
  void startMoveOfRefusedRange(TargetCall refused) {
    Optional<TargetRecord> target = state.target(refused.target());
    Optional<TargetHeartbeat> heartbeat = heartbeats.find(refused.target());
    if (target.isEmpty() || heartbeat.isEmpty()) {
      return;
    }
    stableRanges(target.get()).stream()
        .map(OwnedRange::range)
        .filter(r -> r.overlaps(refused.range()))
        .forEach(r -> startMove(target.get(), heartbeat.get(), r, "target knows a higher fence"));
  }

  List<OwnedRange> stableRanges(TargetRecord target) {
    return moves.stableRanges(target.service(), target.id(), state);
  }

  private void startMove(
      TargetRecord target, TargetHeartbeat heartbeat, KeyRange range, String reason) {
    loadsOfRound.clear();
    hasStarted = true;
    moves.start(target, heartbeat, range, reason);
  }
}
