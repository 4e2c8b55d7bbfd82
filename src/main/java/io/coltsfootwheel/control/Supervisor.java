package io.coltsfootwheel.control;

import io.coltsfootwheel.control.LeaseTracker.Registration;
import io.coltsfootwheel.control.SupervisorEvent.LeadershipGained;
import io.coltsfootwheel.control.SupervisorEvent.LeadershipLost;
import io.coltsfootwheel.control.SupervisorEvent.RenewalReceived;
import io.coltsfootwheel.control.SupervisorEvent.StateApplied;
import io.coltsfootwheel.control.SupervisorEvent.Tick;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reducer of the control leader that decides which commands to propose and which lease renewals to
 * allow.
 *
 * <p>Its state is volatile and rebuilt from renewals after an election. The decisions rely on this
 * rule for dispatchers: after a dispatcher has reported a target as RELEASED, it sends nothing to
 * the target until it has applied a new status of the target or a new dispatch fence.
 *
 * <p>Usage: {@code supervisor.apply(new SupervisorEvent.Tick(nowNanos)).forEach(driver::execute)}.
 */
public final class Supervisor {
  private static final long STAMP_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /**
   * Number of hash slots and targets above which the hash slots of a service are not planned on
   * each change but at intervals, because a plan scans all of them.
   */
  private static final int LARGE_SERVICE_SIZE = 4_096;

  private static final long LARGE_SERVICE_PLAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final UnappliedProposals proposals = new UnappliedProposals();
  private final LeaseTracker leases = new LeaseTracker();
  private final TargetObservations observations = new TargetObservations();
  private final GrantPlanner grantPlanner = new GrantPlanner(leases, proposals);
  private final TargetPlanner targetPlanner =
      new TargetPlanner(observations, grantPlanner, proposals);
  private final HandoverPlanner handoverPlanner = new HandoverPlanner(observations, proposals);
  private final SlotPlanner slotPlanner = new SlotPlanner(observations, proposals);
  private final Map<ServiceName, Long> lastPlanNanos = new HashMap<>();
  private ControlState state = ControlState.empty();
  private long lastStampNanos;
  private boolean leading;

  /** Returns a supervisor that does not lead. */
  public Supervisor() {
    // There are no settings; all durations are constants.
  }

  /**
   * Handles an event.
   *
   * @param event the event; its time must not be before that of an earlier event
   * @return effects to execute in order
   */
  public List<SupervisorEffect> apply(SupervisorEvent event) {
    if (event instanceof LeadershipGained gained) {
      startLeading(gained);
    } else if (event instanceof LeadershipLost) {
      reset();
    } else if (event instanceof RenewalReceived received) {
      proposals.beginEvent(received.nowNanos());
      handleRenewal(received.renewal());
    } else if (event instanceof StateApplied applied && leading) {
      proposals.beginEvent(applied.nowNanos());
      state = applied.state();
      leases.update(state, applied.nowNanos());
      planAll();
    } else if (event instanceof Tick tick && leading) {
      proposals.beginEvent(tick.nowNanos());
      observations.removeUnknownTargets(state);
      proposeExpiries();
      proposeStamp();
      planAll();
    }
    return proposals.takeEffects();
  }

  private void startLeading(LeadershipGained gained) {
    reset();
    leading = true;
    state = gained.state();
    lastStampNanos = gained.nowNanos();
    proposals.beginEvent(gained.nowNanos());
    leases.update(state, gained.nowNanos());
  }

  private void reset() {
    leading = false;
    state = ControlState.empty();
    proposals.clear();
    leases.clear();
    observations.clear();
    grantPlanner.clear();
    targetPlanner.clear();
    slotPlanner.clear();
    lastPlanNanos.clear();
  }

  private void handleRenewal(Renewal renewal) {
    if (!leading) {
      proposals.addEffect(new SupervisorEffect.RefuseRenewal(renewal, ErrorKind.NOT_LEADER));
      return;
    }
    boolean outOfOrder = leases.isOutOfOrder(renewal);
    if (outOfOrder || !leases.renew(renewal, proposals.nowNanos())) {
      if (!outOfOrder) {
        proposals.addEffect(new SupervisorEffect.RefuseRenewal(renewal, ErrorKind.NO_LEASE));
      }
      return;
    }
    proposals.addEffect(new SupervisorEffect.AllowRenewal(renewal));
    for (TargetReport report : renewal.reports()) {
      handleReport(renewal, report);
    }
    if (renewal.leaving()) {
      grantPlanner.revokeReturned(state, renewal);
    }
  }

  private void handleReport(Renewal renewal, TargetReport report) {
    Optional<TargetState> target = state.content().targets().get(report.target());
    if (target.isEmpty()) {
      return;
    }
    observations.record(renewal, report);
    targetPlanner.plan(state, target.get());
    if (!report.releasedSlots().isEmpty()) {
      state
          .content()
          .services()
          .get(target.get().spec().service())
          .ifPresent(service -> handoverPlanner.plan(state, service));
    }
  }

  private void proposeExpiries() {
    for (Registration registration : leases.expired(proposals.nowNanos())) {
      proposals.propose(
          List.of("expire", registration),
          new Command.ExpireSession(
              registration.instance(),
              registration.session(),
              registration.index(),
              "no renewal within the lease"));
    }
  }

  private void proposeStamp() {
    if (proposals.nowNanos() - lastStampNanos >= STAMP_INTERVAL_NANOS) {
      lastStampNanos = proposals.nowNanos();
      proposals.addEffect(new SupervisorEffect.ProposeCommand(new Command.AdvanceStamp()));
    }
  }

  private void planAll() {
    grantPlanner.plan(state);
    targetPlanner.planAll(state);
    for (ServiceState service : state.content().services().values()) {
      if (service.spec().keyed()) {
        handoverPlanner.plan(state, service);
        planSlots(service);
      }
    }
  }

  private void planSlots(ServiceState service) {
    ServiceName name = service.spec().name();
    long nowNanos = proposals.nowNanos();
    boolean large = service.slots().size() + service.targets().size() > LARGE_SERVICE_SIZE;
    Long lastNanos = lastPlanNanos.get(name);
    if (large && lastNanos != null && nowNanos - lastNanos < LARGE_SERVICE_PLAN_INTERVAL_NANOS) {
      return;
    }
    lastPlanNanos.put(name, nowNanos);
    slotPlanner.plan(state, service);
  }
}
