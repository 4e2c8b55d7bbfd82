package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Observations.Observation;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetStatus;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Changes the statuses of targets as their dispatchers report.
 *
 * <p>At most a third of a service's targets, and at least one, become LOST within a window of 5 s.
 * Many targets that fail together more likely mean a network partition near their dispatchers, so a
 * target beyond the cap first gets another dispatcher; if that one releases it too, it is counted
 * again once earlier losses have left the window. Losses one by one are never held back.
 */
final class TargetPlanner {
  static final long LOSS_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int CAP_DIVISOR = 3;

  /** Time without requests after which a drained target is removed; covers late entries. */
  private static final long DRAINED_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Observations observations;
  private final GrantPlanner grants;
  private final Proposals proposals;
  private final Map<ServiceName, Map<TargetId, Long>> losses = new HashMap<>();
  private final Map<TargetId, Long> idleSinceNanos = new HashMap<>();

  TargetPlanner(Observations observations, GrantPlanner grants, Proposals proposals) {
    this.observations = observations;
    this.grants = grants;
    this.proposals = proposals;
  }

  void clear() {
    losses.clear();
    idleSinceNanos.clear();
  }

  void planAll(ControlState state) {
    idleSinceNanos.keySet().removeIf(id -> !state.content().targets().contains(id));
    state.content().targets().values().forEach(target -> plan(state, target));
  }

  void plan(ControlState state, TargetState target) {
    Optional<Observation> observation = observations.current(target);
    if (observation.isEmpty() || target.status() == TargetStatus.GONE) {
      return;
    }
    TargetReport report = observation.get().report();
    boolean lost = target.status() == TargetStatus.LOST;
    if (report.condition() == TargetCondition.RELEASED && !lost) {
      lose(state, target);
    } else if (report.condition() == TargetCondition.HEALTHY && lost) {
      change(target, TargetStatus.ACTIVE, "answers again");
    } else if (target.drainAsked()) {
      removeDrained(state, target, report);
    }
  }

  private void lose(ControlState state, TargetState target) {
    Map<TargetId, Long> recent =
        losses.computeIfAbsent(target.spec().service(), s -> new LinkedHashMap<>());
    long now = proposals.nowNanos();
    recent.values().removeIf(at -> now - at >= LOSS_WINDOW_NANOS);
    long known =
        state.targetsOf(target.spec().service()).stream()
            .filter(t -> t.status() != TargetStatus.GONE)
            .count();
    long cap = Math.max(1, known / CAP_DIVISOR);
    TargetId id = target.spec().id();
    if (recent.containsKey(id) || recent.size() < cap) {
      recent.putIfAbsent(id, now);
      change(target, TargetStatus.LOST, "released by its dispatcher");
      return;
    }
    String reason =
        "released, but %d of %d targets were lost within 5 s".formatted(recent.size(), known);
    target.entry().grant().ifPresent(g -> grants.moveElsewhere(target, g, reason));
  }

  private void removeDrained(ControlState state, TargetState target, TargetReport report) {
    TargetId id = target.spec().id();
    boolean idle =
        report.inFlight() == 0
            && report.queued() == 0
            && report.condition() != TargetCondition.SUSPECT
            && !ownsSlots(state, target);
    if (!idle) {
      idleSinceNanos.remove(id);
      return;
    }
    long since = idleSinceNanos.computeIfAbsent(id, t -> proposals.nowNanos());
    if (proposals.nowNanos() - since >= DRAINED_NANOS) {
      change(target, TargetStatus.GONE, "drained");
    }
  }

  private static boolean ownsSlots(ControlState state, TargetState target) {
    return state
        .content()
        .services()
        .get(target.spec().service())
        .filter(s -> s.slots().owns(target.spec().id()))
        .isPresent();
  }

  private void change(TargetState target, TargetStatus status, String reason) {
    TargetId id = target.spec().id();
    proposals.propose(
        List.of("status", id, target.changedIndex()),
        new Command.ChangeTargetStatus(
            id, status, target.spec().incarnation(), target.changedIndex(), reason));
  }
}
