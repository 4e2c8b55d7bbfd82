package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Chooses the owners of ranges that no target holds. */
final class RangePlacement {
  private final HeartbeatMonitor heartbeats;
  private final LoadStatistics loadStatistics;
  private final RangeMoves moves;
  private final Set<TargetId> pendingRemovals;
  private final ColdTargets coldTargets;

  /**
   * Creates a placement that reads the mutable state of the leader.
   *
   * @param heartbeats reports and leases of all targets
   * @param loadStatistics load of keys and targets
   * @param moves moves in progress
   * @param pendingRemovals targets whose removal is proposed and not yet applied
   * @param coldTargets targets that are warming up
   */
  RangePlacement(
      HeartbeatMonitor heartbeats,
      LoadStatistics loadStatistics,
      RangeMoves moves,
      Set<TargetId> pendingRemovals,
      ColdTargets coldTargets) {
    this.heartbeats = heartbeats;
    this.loadStatistics = loadStatistics;
    this.moves = moves;
    this.pendingRemovals = pendingRemovals;
    this.coldTargets = coldTargets;
  }

  /** Returns the load of the targets that can receive ranges of a service. */
  ServiceLoad load(long nowNanos, ServiceName service, FleetState state) {
    List<TargetRecord> receivers = receivers(nowNanos, service, null, state);
    Map<TargetId, Double> coldLimits = new HashMap<>();
    state.targets().stream()
        .filter(t -> t.service().equals(service))
        .forEach(
            t ->
                coldTargets
                    .requestsPerSecond(nowNanos, t)
                    .ifPresent(rate -> coldLimits.put(t.id(), rate)));
    return new ServiceLoad(
        nowNanos, loadStatistics, service, state, moves.all(), receivers, coldLimits);
  }

  /**
   * Returns the targets of a service that can receive ranges; none of them is in an evacuated zone.
   *
   * @param excluded target that is left out, or null
   */
  List<TargetRecord> receivers(
      long nowNanos, ServiceName service, TargetId excluded, FleetState state) {
    return state.targets().stream()
        .filter(t -> t.service().equals(service) && t.phase() == TargetPhase.READY)
        .filter(t -> !state.isEvacuated(t))
        .filter(t -> !t.id().equals(excluded) && !pendingRemovals.contains(t.id()))
        .filter(t -> heartbeats.canReceiveKeys(nowNanos, t.id()))
        .toList();
  }

  /**
   * Chooses the new owners of released ranges and marks the assignments as proposed. A range for
   * which no target can be found keeps its move, and is tried again later.
   */
  List<FleetCommand.Assignment> assignReleased(
      long nowNanos, ServiceName service, List<RangeMove> released, FleetState state) {
    ServiceLoad load = load(nowNanos, service, state);
    List<FleetCommand.Assignment> assignments = new ArrayList<>();
    for (RangeMove move : released) {
      Optional<TargetId> to =
          chooseReceiver(nowNanos, load, service, move.range(), Optional.of(move.from()));
      if (to.isPresent()) {
        assignments.addAll(RangeMoves.splitByHandoverToken(move, to.get()));
        moves.markAssignmentProposed(move);
      } else if (mayReturn(move, load)) {
        assignments.add(
            new FleetCommand.Assignment(move.range(), Optional.of(move.from()), move.from(), ""));
        moves.markAssignmentProposed(move);
      }
    }
    return assignments;
  }

  /**
   * Returns whether a range that no other target can receive goes back to its owner: the evacuation
   * because of which the owner released it has ended.
   */
  private static boolean mayReturn(RangeMove move, ServiceLoad load) {
    return move.reason().equals(MoveStarter.ZONE_EVACUATED)
        && load.receivers().stream().anyMatch(t -> t.id().equals(move.from()));
  }

  /** Divides all keys of a service evenly among its targets. */
  List<FleetCommand.Assignment> assignInitial(
      long nowNanos, ServiceName service, FleetState state) {
    List<TargetRecord> receivers = withoutCold(nowNanos, receivers(nowNanos, service, null, state));
    List<FleetCommand.Assignment> result = new ArrayList<>();
    int keys = KeyRange.MAX_KEY + 1;
    for (int i = 0; i < receivers.size(); i++) {
      int from = (int) ((long) keys * i / receivers.size());
      int to = (int) ((long) keys * (i + 1) / receivers.size()) - 1;
      result.add(
          new FleetCommand.Assignment(
              new KeyRange(from, to), Optional.empty(), receivers.get(i).id(), ""));
    }
    return result;
  }

  /** Returns the targets that are not cold, or all when there are no others. */
  private List<TargetRecord> withoutCold(long nowNanos, List<TargetRecord> targets) {
    List<TargetRecord> warm =
        targets.stream().filter(t -> coldTargets.requestsPerSecond(nowNanos, t).isEmpty()).toList();
    return warm.isEmpty() ? targets : warm;
  }

  /** Chooses owners for ranges that have none. */
  List<FleetCommand.Assignment> fillGaps(
      long nowNanos, ServiceName service, List<KeyRange> gaps, FleetState state) {
    ServiceLoad load = load(nowNanos, service, state);
    List<FleetCommand.Assignment> result = new ArrayList<>();
    for (KeyRange gap : gaps) {
      chooseReceiver(nowNanos, load, service, gap, Optional.empty())
          .ifPresent(to -> result.add(new FleetCommand.Assignment(gap, Optional.empty(), to, "")));
    }
    return result;
  }

  private Optional<TargetId> chooseReceiver(
      long nowNanos,
      ServiceLoad load,
      ServiceName service,
      KeyRange range,
      Optional<TargetId> excluded) {
    ServiceLoad candidates = excluded.isEmpty() ? load : load.withoutReceiver(excluded.get());
    double requestsPerSecond = loadStatistics.keyLoad(service).requestsPerSecond(nowNanos, range);
    Optional<TargetId> chosen =
        RangePlanner.chooseReceiver(
                candidates,
                range,
                requestsPerSecond,
                target -> heartbeats.secondsUntilGrant(nowNanos, target))
            .map(TargetRecord::id);
    chosen.ifPresent(id -> load.addLoad(id, requestsPerSecond));
    return chosen;
  }
}
