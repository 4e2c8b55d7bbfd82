package io.coltsfootwheel.control;

import io.coltsfootwheel.control.SlotPlacement.SlotMove;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when hash slots of a service move to balance load. Moves start above the imbalance of the
 * service's move policy and continue down to {@link LoadPlacement#STOP_IMBALANCE}, within the
 * policy's budget of moves per minute.
 */
final class LoadPlanner {
  /**
   * Pause after moves, and after the start, until the observed rates are stable again: they follow
   * a change only after the smoothing of about 1 s.
   */
  private static final long STABILIZATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Interval between checks of the imbalance while no move is needed. */
  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for which a hash slot that moved for load does not move for load again. */
  static final long COOL_DOWN_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Period to which the move policy's budget of moves applies. */
  private static final long BUDGET_PERIOD_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final TargetObservations observations;
  private final Map<ServiceName, History> histories = new HashMap<>();

  LoadPlanner(TargetObservations observations) {
    this.observations = observations;
  }

  void clear() {
    histories.clear();
  }

  List<SlotMove> plan(
      ControlState state, ServiceState service, PlacementInput input, long nowNanos) {
    History history =
        histories.computeIfAbsent(service.spec().name(), name -> new History(nowNanos));
    if (nowNanos < history.nextCheckNanos || input.candidates().size() < 2) {
      return List.of();
    }
    history.removeExpired(nowNanos);
    LoadPlacement placement = placement(state, input, history);
    MovePolicy policy = service.spec().movePolicy();
    double threshold =
        history.rebalancing ? LoadPlacement.STOP_IMBALANCE : policy.imbalanceThreshold();
    if (placement.imbalance() <= threshold) {
      history.rebalancing = false;
      history.nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
      return List.of();
    }
    List<SlotMove> moves =
        placement.moves(policy.movesPerMinute() - history.recentMoveNanos.size());
    history.rebalancing = true;
    history.nextCheckNanos = nowNanos + STABILIZATION_NANOS;
    moves.forEach(move -> history.recordMove(move.slot(), nowNanos));
    return moves;
  }

  private LoadPlacement placement(ControlState state, PlacementInput input, History history) {
    Map<TargetId, Double> loads = new HashMap<>();
    Map<TargetId, List<SlotLoad>> hottest = new HashMap<>();
    for (PlacementInput.Candidate candidate : input.candidates()) {
      state
          .content()
          .targets()
          .get(candidate.id())
          .flatMap(observations::current)
          .ifPresent(
              observation -> {
                loads.put(candidate.id(), observation.requestsPerSecond());
                hottest.put(candidate.id(), observation.hottestSlots());
              });
    }
    return new LoadPlacement(
        input, loads, hottest, slot -> !history.lastMoveNanos.containsKey(slot));
  }

  /** Recent moves of one service for load. */
  private static final class History {
    /** Times of the moves within the budget period, oldest first. */
    private final Deque<Long> recentMoveNanos = new ArrayDeque<>();

    /** Time of the move of each hash slot that is within its cool-down. */
    private final Map<Integer, Long> lastMoveNanos = new HashMap<>();

    private long nextCheckNanos;

    /**
     * True from when the imbalance exceeds the policy's start ratio until it is at most the stop
     * ratio.
     */
    private boolean rebalancing;

    /** Starts with a pause until the first observed rates are stable. */
    History(long nowNanos) {
      nextCheckNanos = nowNanos + STABILIZATION_NANOS;
    }

    void removeExpired(long nowNanos) {
      while (!recentMoveNanos.isEmpty()
          && nowNanos - recentMoveNanos.peekFirst() >= BUDGET_PERIOD_NANOS) {
        recentMoveNanos.removeFirst();
      }
      lastMoveNanos.values().removeIf(movedNanos -> nowNanos - movedNanos >= COOL_DOWN_NANOS);
    }

    void recordMove(int slot, long nowNanos) {
      recentMoveNanos.addLast(nowNanos);
      lastMoveNanos.put(slot, nowNanos);
    }
  }
}
