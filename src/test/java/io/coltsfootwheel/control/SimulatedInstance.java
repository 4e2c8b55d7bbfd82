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

/** Instance with a minimal dispatcher that follows the rules of docs/design.md. */
final class SimulatedInstance {
  private static final long LEASE_MILLIS = 400;
  private static final long SUSPECT_MILLIS = 250;
  private static final long RELEASE_MILLIS = 424;

  final int number;
  int session;
  long pausedUntilMillis;
  boolean leaves;
  ControlState view = ControlState.empty();
  private long leaseUntilMillis;
  private final Map<TargetId, Long> answeredMillis = new HashMap<>();
  private final Map<TargetId, Long> released = new HashMap<>();
  private final Set<TargetId> sees = new HashSet<>();
  private final Set<Long> givenBack = new HashSet<>();

  SimulatedInstance(int number) {
    this.number = number;
  }

  String sessionName() {
    return "s" + session;
  }

  void restart(ControlState state) {
    session++;
    leaseUntilMillis = 0;
    answeredMillis.clear();
    released.clear();
    givenBack.clear();
    sees.clear();
    leaves = false;
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
        && !givenBack.contains(fence(target));
  }

  long fence(TargetId target) {
    return view.target(target)
        .flatMap(TargetEntry::grant)
        .filter(g -> g.holder().equals(Fixtures.instance(number)))
        .filter(g -> g.session().equals(sessionName()))
        .map(g -> g.fence().value())
        .orElse(0L);
  }

  /** Tells whether the dispatcher may send a request for a hash slot now. */
  boolean maySend(SimulatedTarget target, int slot, long nowMillis) {
    boolean serves = view.target(target.id()).filter(t -> t.status().mayOwnSlots()).isPresent();
    return holds(target.id(), nowMillis)
        && serves
        && !leaves
        && view.ownership(Fixtures.LEDGER, slot)
            .filter(o -> o.owner().equals(target.id()) && o.handoverTo().isEmpty())
            .isPresent();
  }

  private boolean isReleased(TargetId target) {
    return released.getOrDefault(target, -1L) == view.targetChangedIndex(target);
  }

  Renewal renewal(List<SimulatedTarget> targets, long nowMillis) {
    List<TargetReport> reports = new ArrayList<>();
    for (SimulatedTarget target : targets) {
      boolean givesBack = leaves && target.isIdle(nowMillis);
      if (givesBack) {
        givenBack.add(fence(target.id()));
      }
      if (fence(target.id()) > 0 && !givenBack.contains(fence(target.id()))) {
        reports.add(report(target, nowMillis));
      }
    }
    return new Renewal(
        Fixtures.instance(number),
        sessionName(),
        TimeUnit.MILLISECONDS.toNanos(nowMillis),
        view.appliedIndex(),
        leaves,
        reports);
  }

  private TargetReport report(SimulatedTarget target, long nowMillis) {
    TargetId id = target.id();
    if (sees.add(id) || target.isReachable(nowMillis)) {
      answeredMillis.put(id, nowMillis);
    }
    long silentMillis = nowMillis - answeredMillis.get(id);
    TargetCondition condition = condition(target, silentMillis, nowMillis);
    if (condition == TargetCondition.RELEASED) {
      released.put(id, view.targetChangedIndex(id));
    }
    SlotTable table = view.content().services().get(Fixtures.LEDGER).orElseThrow().slots();
    List<Integer> free =
        table.handovers().keys().stream()
            .filter(slot -> id.equals(table.ownerOrNull(slot)))
            .filter(slot -> !target.isExecuting(slot, nowMillis))
            .toList();
    int inFlight = target.isIdle(nowMillis) ? 0 : 1;
    return new TargetReport(id, Fence.of(fence(id)), condition, inFlight, 0, 0, free, List.of());
  }

  private TargetCondition condition(SimulatedTarget target, long silentMillis, long nowMillis) {
    boolean lost =
        view.target(target.id()).filter(t -> t.status() == TargetStatus.LOST).isPresent();
    if (isReleased(target.id()) && !lost) {
      return TargetCondition.RELEASED;
    }
    if (silentMillis < SUSPECT_MILLIS) {
      return TargetCondition.HEALTHY;
    }
    boolean over = silentMillis >= RELEASE_MILLIS && target.isIdle(nowMillis);
    return over ? TargetCondition.RELEASED : TargetCondition.SUSPECT;
  }
}
