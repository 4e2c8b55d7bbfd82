package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Placement.Move;
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

/** Decides when hash slots of a service move for load. */
final class LoadPlanner {
  /** Observed rates follow a move only after the smoothing of about 1 s. */
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Interval between comparisons while no move is needed. */
  private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A hash slot that moved for load stays at least this long. */
  static final long COOL_DOWN_NANOS = TimeUnit.MINUTES.toNanos(1);

  private static final long BUDGET_PERIOD_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final Observations observations;
  private final Map<ServiceName, History> histories = new HashMap<>();

  LoadPlanner(Observations observations) {
    this.observations = observations;
  }

  void clear() {
    histories.clear();
  }

  List<Move> plan(ControlState state, ServiceState service, PlacementInput input, long nowNanos) {
    History history = histories.computeIfAbsent(service.spec().name(), s -> new History(nowNanos));
    if (nowNanos < history.nextNanos || input.candidates().size() < 2) {
      return List.of();
    }
    history.forget(nowNanos);
    LoadPlacement placement = placement(state, input, history);
    MovePolicy policy = service.spec().movePolicy();
    double start = history.moving ? LoadPlacement.STOP_IMBALANCE : policy.startImbalance();
    if (placement.imbalance() <= start) {
      history.moving = false;
      history.nextNanos = nowNanos + CHECK_NANOS;
      return List.of();
    }
    List<Move> moves = placement.moves(policy.movesPerMinute() - history.moveNanos.size());
    history.moving = true;
    history.nextNanos = nowNanos + SETTLE_NANOS;
    moves.forEach(m -> history.add(m.slot(), nowNanos));
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
              o -> {
                loads.put(candidate.id(), o.requestsPerSecond());
                hottest.put(candidate.id(), o.hottestSlots());
              });
    }
    return new LoadPlacement(input, loads, hottest, slot -> !history.cooling.containsKey(slot));
  }

  private static final class History {
    private final Deque<Long> moveNanos = new ArrayDeque<>();
    private final Map<Integer, Long> cooling = new HashMap<>();
    private long nextNanos;
    private boolean moving;

    /** Starts with a pause, in which the first rates become stable. */
    History(long nowNanos) {
      nextNanos = nowNanos + SETTLE_NANOS;
    }

    void forget(long nowNanos) {
      while (!moveNanos.isEmpty() && nowNanos - moveNanos.peekFirst() >= BUDGET_PERIOD_NANOS) {
        moveNanos.removeFirst();
      }
      cooling.values().removeIf(moved -> nowNanos - moved >= COOL_DOWN_NANOS);
    }

    void add(int slot, long nowNanos) {
      moveNanos.addLast(nowNanos);
      cooling.put(slot, nowNanos);
    }
  }
}
