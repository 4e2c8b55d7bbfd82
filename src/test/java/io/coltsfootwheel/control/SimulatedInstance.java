package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Instance with a minimal dispatcher that follows the rules of docs/design.md for leases, grants
 * and handovers.
 */
final class SimulatedInstance {
  private static final long LEASE_MILLIS = 400;
  private static final long SUSPECT_AFTER_MILLIS = 250;

  /** Validity of a grant at a target, 400 ms, with clock drift and margin. */
  private static final long RELEASE_AFTER_MILLIS = 424;

  final int number;
  int session;
  long pausedUntilMillis;
  boolean leaving;
  ControlState view = ControlState.empty();
  private long leaseUntilMillis;
  private final Map<TargetId, Long> lastAnswerMillis = new HashMap<>();
  private final Map<TargetId, Long> releasedIndexes = new HashMap<>();
  private final Set<TargetId> reportedTargets = new HashSet<>();
  private final Set<Long> returnedFences = new HashSet<>();

  SimulatedInstance(int number) {
    this.number = number;
  }

  String sessionName() {
    return "s" + session;
  }

  void restart(ControlState state) {
    session++;
    leaseUntilMillis = 0;
    lastAnswerMillis.clear();
    releasedIndexes.clear();
    returnedFences.clear();
    reportedTargets.clear();
    leaving = false;
    view = state;
  }

  void acknowledge(long sentMillis, String acknowledgedSession) {
    if (acknowledgedSession.equals(sessionName())) {
      leaseUntilMillis = Math.max(leaseUntilMillis, sentMillis + LEASE_MILLIS);
    }
  }

  boolean holds(TargetId target, long nowMillis) {
    return nowMillis < leaseUntilMillis
        && fence(target) > 0
        && !isReleased(target)
        && !returnedFences.contains(fence(target));
  }

  long fence(TargetId target) {
    return view.target(target)
        .flatMap(TargetEntry::grant)
        .filter(grant -> grant.holder().equals(Fixtures.instance(number)))
        .filter(grant -> grant.session().equals(sessionName()))
        .map(grant -> grant.fence().value())
        .orElse(0L);
  }

  /** Tells whether the dispatcher may send a request for a hash slot to a target now. */
  boolean maySend(SimulatedTarget target, int slot, long nowMillis) {
    boolean isServing =
        view.target(target.id()).filter(entry -> entry.status().mayOwnSlots()).isPresent();
    return holds(target.id(), nowMillis)
        && isServing
        && !leaving
        && view.ownership(Fixtures.LEDGER, slot)
            .filter(
                ownership ->
                    ownership.owner().equals(target.id()) && ownership.handoverTo().isEmpty())
            .isPresent();
  }

  private boolean isReleased(TargetId target) {
    return releasedIndexes.getOrDefault(target, -1L) == view.targetChangedIndex(target);
  }

  Renewal renewal(List<SimulatedTarget> targets, long nowMillis) {
    List<TargetReport> reports = new ArrayList<>();
    for (SimulatedTarget target : targets) {
      boolean returnsGrant = leaving && target.isIdle(nowMillis);
      if (returnsGrant) {
        returnedFences.add(fence(target.id()));
      }
      if (fence(target.id()) > 0 && !returnedFences.contains(fence(target.id()))) {
        reports.add(report(target, nowMillis));
      }
    }
    return new Renewal(
        Fixtures.instance(number),
        sessionName(),
        TimeUnit.MILLISECONDS.toNanos(nowMillis),
        view.appliedIndex(),
        leaving,
        reports);
  }

  private TargetReport report(SimulatedTarget target, long nowMillis) {
    TargetId id = target.id();
    if (reportedTargets.add(id) || target.isReachable(nowMillis)) {
      lastAnswerMillis.put(id, nowMillis);
    }
    long unresponsiveMillis = nowMillis - lastAnswerMillis.get(id);
    TargetCondition condition = condition(target, unresponsiveMillis, nowMillis);
    if (condition == TargetCondition.RELEASED) {
      releasedIndexes.put(id, view.targetChangedIndex(id));
    }
    SlotOwnershipTable table = view.content().services().get(Fixtures.LEDGER).orElseThrow().slots();
    List<Integer> releasedSlots =
        table.handovers().keys().stream()
            .filter(slot -> id.equals(table.ownerOrNull(slot)))
            .filter(slot -> !target.isExecuting(slot, nowMillis))
            .toList();
    int inFlight = target.isIdle(nowMillis) ? 0 : 1;
    return new TargetReport(
        id, Fence.of(fence(id)), condition, inFlight, 0, 0, releasedSlots, List.of());
  }

  private TargetCondition condition(
      SimulatedTarget target, long unresponsiveMillis, long nowMillis) {
    boolean isLost =
        view.target(target.id()).filter(entry -> entry.status() == TargetStatus.LOST).isPresent();
    if (isReleased(target.id()) && !isLost) {
      return TargetCondition.RELEASED;
    }
    if (unresponsiveMillis < SUSPECT_AFTER_MILLIS) {
      return TargetCondition.HEALTHY;
    }
    boolean mayRelease = unresponsiveMillis >= RELEASE_AFTER_MILLIS && target.isIdle(nowMillis);
    return mayRelease ? TargetCondition.RELEASED : TargetCondition.SUSPECT;
  }
}
