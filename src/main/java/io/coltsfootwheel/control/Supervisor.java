package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Leases.Registration;
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
 * Leader-side reducer that decides which commands to propose and which renewals to allow.
 *
 * <p>Everything in it is volatile and rebuilt from renewals after an election. A dispatcher that
 * reported a target as RELEASED sends nothing to it until it has applied a new status of the target
 * or a new dispatch fence.
 *
 * <p>Usage: {@code supervisor.apply(new SupervisorEvent.Tick(nowNanos)).forEach(driver::execute)}.
 */
public final class Supervisor {
  private static final long STAMP_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Above this number of hash slots and targets, planning on each change costs too much. */
  private static final int LARGE_SERVICE = 4_096;

  private static final long LARGE_PLAN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Proposals proposals = new Proposals();
  private final Leases leases = new Leases();
  private final Observations observations = new Observations();
  private final GrantPlanner grants = new GrantPlanner(leases, proposals);
  private final TargetPlanner targets = new TargetPlanner(observations, grants, proposals);
  private final HandoverPlanner handovers = new HandoverPlanner(observations, proposals);
  private final SlotPlanner slots = new SlotPlanner(observations, proposals);
  private final Map<ServiceName, Long> plannedNanos = new HashMap<>();
  private ControlState state = ControlState.empty();
  private long stampNanos;
  private boolean leading;

  /** Returns a supervisor that does not lead. */
  public Supervisor() {
    // No settings: all durations come from ControlTiming.
  }

  /**
   * Handles an event.
   *
   * @param event the event; times do not fall
   * @return effects to execute in order
   */
  public List<SupervisorEffect> apply(SupervisorEvent event) {
    if (event instanceof LeadershipGained gained) {
      lead(gained);
    } else if (event instanceof LeadershipLost) {
      clear();
    } else if (event instanceof RenewalReceived received) {
      proposals.begin(received.nowNanos());
      renew(received.renewal());
    } else if (event instanceof StateApplied applied && leading) {
      proposals.begin(applied.nowNanos());
      state = applied.state();
      leases.update(state, applied.nowNanos());
      planAll();
    } else if (event instanceof Tick tick && leading) {
      proposals.begin(tick.nowNanos());
      observations.retain(state);
      expire();
      advanceStamp();
      planAll();
    }
    return proposals.take();
  }

  private void lead(LeadershipGained gained) {
    clear();
    leading = true;
    state = gained.state();
    stampNanos = gained.nowNanos();
    proposals.begin(gained.nowNanos());
    leases.update(state, gained.nowNanos());
  }

  private void clear() {
    leading = false;
    state = ControlState.empty();
    proposals.clear();
    leases.clear();
    observations.clear();
    grants.clear();
    targets.clear();
    slots.clear();
    plannedNanos.clear();
  }

  private void renew(Renewal renewal) {
    if (!leading) {
      proposals.add(new SupervisorEffect.RefuseRenewal(renewal, ErrorKind.NOT_LEADER));
      return;
    }
    boolean outOfOrder = leases.isOutOfOrder(renewal);
    if (outOfOrder || !leases.renew(renewal, proposals.nowNanos())) {
      if (!outOfOrder) {
        proposals.add(new SupervisorEffect.RefuseRenewal(renewal, ErrorKind.NO_LEASE));
      }
      return;
    }
    proposals.add(new SupervisorEffect.AllowRenewal(renewal));
    for (TargetReport report : renewal.reports()) {
      observe(renewal, report);
    }
    if (renewal.leaving()) {
      grants.giveBack(state, renewal);
    }
  }

  private void observe(Renewal renewal, TargetReport report) {
    Optional<TargetState> target = state.content().targets().get(report.target());
    if (target.isEmpty()) {
      return;
    }
    observations.record(renewal, report);
    targets.plan(state, target.get());
    if (!report.releasedSlots().isEmpty()) {
      state
          .content()
          .services()
          .get(target.get().spec().service())
          .ifPresent(service -> handovers.plan(state, service));
    }
  }

  private void expire() {
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

  private void advanceStamp() {
    if (proposals.nowNanos() - stampNanos >= STAMP_INTERVAL_NANOS) {
      stampNanos = proposals.nowNanos();
      proposals.add(new SupervisorEffect.ProposeCommand(new Command.AdvanceStamp()));
    }
  }

  private void planAll() {
    grants.plan(state);
    targets.planAll(state);
    for (ServiceState service : state.content().services().values()) {
      if (service.spec().keyed()) {
        handovers.plan(state, service);
        planSlots(service);
      }
    }
  }

  private void planSlots(ServiceState service) {
    ServiceName name = service.spec().name();
    long now = proposals.nowNanos();
    boolean large = service.slots().size() + service.targets().size() > LARGE_SERVICE;
    Long planned = plannedNanos.get(name);
    if (large && planned != null && now - planned < LARGE_PLAN_NANOS) {
      return;
    }
    plannedNanos.put(name, now);
    slots.plan(state, service);
  }
}
