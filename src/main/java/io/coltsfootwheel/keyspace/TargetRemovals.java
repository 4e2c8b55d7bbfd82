package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Decides which targets are removed because their lease has ended and they no longer report. */
final class TargetRemovals {
  /**
   * Time without a report after which a ready target of an unkeyed service is removed. Such a
   * target needs no lease and may still serve requests while it cannot reach the control leader;
   * entries detect by themselves when it does not.
   */
  private static final long UNRESPONSIVE_UNKEYED_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * Share of all targets above which simultaneously unresponsive targets are a mass outage. A mass
   * outage is probably a transient fault on the control side, so removals are delayed.
   */
  private static final double MASS_OUTAGE_SHARE = 0.34;

  /** Number of unresponsive targets that is no mass outage, however few targets are registered. */
  private static final int MASS_OUTAGE_ABOVE_TARGETS = 3;

  /** Time after the end of its lease at which a target is removed during a mass outage. */
  private static final long MASS_OUTAGE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final OwnershipSettings settings;
  private final HeartbeatMonitor heartbeats;
  private final KeyedServices keyedServices;
  private final Set<TargetId> pendingRemovals;

  /**
   * Creates the removals of a term.
   *
   * @param settings the settings
   * @param heartbeats reports and leases of the targets
   * @param keyedServices services whose keys are held by one target each
   * @param pendingRemovals targets whose removal is proposed and not yet applied; removals are
   *     added to it
   */
  TargetRemovals(
      OwnershipSettings settings,
      HeartbeatMonitor heartbeats,
      KeyedServices keyedServices,
      Set<TargetId> pendingRemovals) {
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.keyedServices = keyedServices;
    this.pendingRemovals = pendingRemovals;
  }

  /**
   * Returns the removals to propose now, and records them as pending.
   *
   * @param nowNanos monotonic time
   * @param state the replicated state
   * @return one command for each target to remove
   */
  List<FleetCommand> due(long nowNanos, FleetState state) {
    List<TargetRecord> unresponsive =
        state.targets().stream()
            .filter(t -> !pendingRemovals.contains(t.id()))
            .filter(t -> isUnresponsive(nowNanos, t, state))
            .toList();
    boolean massOutage = isMassOutage(unresponsive.size(), state.targets().size());
    List<FleetCommand> commands = new ArrayList<>();
    for (TargetRecord target : unresponsive) {
      TargetHeartbeat heartbeat = heartbeats.getOrCreate(nowNanos, target, state);
      if (!massOutage || nowNanos - heartbeat.leaseEndNanos() > MASS_OUTAGE_DELAY_NANOS) {
        pendingRemovals.add(target.id());
        commands.add(new FleetCommand.RemoveTarget(target.id(), target.incarnationMillis()));
      }
    }
    return commands;
  }

  private static boolean isMassOutage(int unresponsiveCount, int totalCount) {
    return unresponsiveCount > Math.max(MASS_OUTAGE_ABOVE_TARGETS, MASS_OUTAGE_SHARE * totalCount);
  }

  /** Returns whether the lease of a target has ended and it has not reported for long enough. */
  private boolean isUnresponsive(long nowNanos, TargetRecord target, FleetState state) {
    TargetHeartbeat heartbeat = heartbeats.getOrCreate(nowNanos, target, state);
    if (!heartbeat.isLeaseEnded(nowNanos)) {
      return false;
    }
    boolean isUnkeyed = !keyedServices.contains(target.service());
    long allowedSilenceNanos =
        isUnkeyed && target.phase() == TargetPhase.READY
            ? UNRESPONSIVE_UNKEYED_NANOS
            : settings.leaseNanos();
    return nowNanos - heartbeat.lastReportNanos() > allowedSilenceNanos;
  }
}
