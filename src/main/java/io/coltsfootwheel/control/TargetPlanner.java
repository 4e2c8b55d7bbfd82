package io.coltsfootwheel.control;

import io.coltsfootwheel.control.TargetObservations.Observation;
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
 * Proposes changes of the statuses of targets according to the reports of their dispatchers.
 *
 * <p>At most a third of a service's targets, but at least one, may become LOST within 5 s. When
 * many targets seem to fail together, a network partition near their dispatchers is the more likely
 * cause, so a target above this cap gets another dispatcher instead. If that dispatcher releases it
 * too, the target becomes LOST as soon as enough earlier losses are older than 5 s. Losses that
 * occur one by one are never delayed.
 */
final class TargetPlanner {
  static final long LOSS_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int LOSS_CAP_DIVISOR = 3;

  /**
   * Time without requests after which a drained target is removed. It covers requests from
   * instances that apply the drain late.
   */
  private static final long DRAIN_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final TargetObservations observations;
  private final GrantPlanner grants;
  private final UnappliedProposals proposals;

  /**
   * Times at which the loss of targets of each service was proposed, within the window of the cap.
   */
  private final Map<ServiceName, Map<TargetId, Long>> recentLosses = new HashMap<>();

  /** Times since which draining targets own no hash slots and have no requests. */
  private final Map<TargetId, Long> idleSinceNanos = new HashMap<>();

  TargetPlanner(
      TargetObservations observations, GrantPlanner grants, UnappliedProposals proposals) {
    this.observations = observations;
    this.grants = grants;
    this.proposals = proposals;
  }

  void clear() {
    recentLosses.clear();
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
      proposeLoss(state, target);
    } else if (report.condition() == TargetCondition.HEALTHY && lost) {
      proposeStatus(target, TargetStatus.ACTIVE, "answers again");
    } else if (target.drainRequested()) {
      proposeRemovalWhenIdle(state, target, report);
    }
  }

  private void proposeLoss(ControlState state, TargetState target) {
    Map<TargetId, Long> lossNanos =
        recentLosses.computeIfAbsent(target.spec().service(), service -> new LinkedHashMap<>());
    long nowNanos = proposals.nowNanos();
    lossNanos.values().removeIf(lostNanos -> nowNanos - lostNanos >= LOSS_WINDOW_NANOS);
    long targetCount =
        state.targetsOf(target.spec().service()).stream()
            .filter(entry -> entry.status() != TargetStatus.GONE)
            .count();
    long cap = Math.max(1, targetCount / LOSS_CAP_DIVISOR);
    TargetId id = target.spec().id();
    if (lossNanos.containsKey(id) || lossNanos.size() < cap) {
      lossNanos.putIfAbsent(id, nowNanos);
      proposeStatus(target, TargetStatus.LOST, "released by its dispatcher");
      return;
    }
    String reason =
        "released, but %d of %d targets were lost within 5 s"
            .formatted(lossNanos.size(), targetCount);
    target.entry().grant().ifPresent(grant -> grants.revokeReleased(target, grant, reason));
  }

  private void proposeRemovalWhenIdle(ControlState state, TargetState target, TargetReport report) {
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
    long sinceNanos = idleSinceNanos.computeIfAbsent(id, newId -> proposals.nowNanos());
    if (proposals.nowNanos() - sinceNanos >= DRAIN_IDLE_NANOS) {
      proposeStatus(target, TargetStatus.GONE, "drained");
    }
  }

  private static boolean ownsSlots(ControlState state, TargetState target) {
    return state
        .content()
        .services()
        .get(target.spec().service())
        .filter(service -> service.slots().owns(target.spec().id()))
        .isPresent();
  }

  private void proposeStatus(TargetState target, TargetStatus status, String reason) {
    TargetId id = target.spec().id();
    proposals.propose(
        List.of("status", id, target.changedIndex()),
        new Command.ChangeTargetStatus(
            id, status, target.spec().incarnation(), target.changedIndex(), reason));
  }
}
