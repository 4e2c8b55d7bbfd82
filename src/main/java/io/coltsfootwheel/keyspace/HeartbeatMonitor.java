package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Tracks the reports and leases of all targets during the term of the current leader. */
final class HeartbeatMonitor {
  /** Age of the last report, in report intervals, from which a target receives no new keys. */
  private static final double MAX_REPORT_AGE_INTERVALS = 1.6;

  /** Typical time until a call that grants keys has been answered. */
  private static final double GRANT_CALL_SECONDS = 0.06;

  /** Time for which the reports of a removed target are known; none is on its way for longer. */
  private static final long REMOVED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final OwnershipSettings settings;
  private final long termStartNanos;
  private final Map<TargetId, TargetHeartbeat> byId = new HashMap<>();
  private final Function<ServiceName, GrantMethod> grantMethods;

  /**
   * Creates a monitor without targets.
   *
   * @param settings the settings
   * @param termStartNanos start of the term
   * @param grantMethods returns the current grant method of a service
   */
  HeartbeatMonitor(
      OwnershipSettings settings,
      long termStartNanos,
      Function<ServiceName, GrantMethod> grantMethods) {
    this.settings = settings;
    this.termStartNanos = termStartNanos;
    this.grantMethods = grantMethods;
  }

  Optional<TargetHeartbeat> find(TargetId target) {
    return Optional.ofNullable(byId.get(target));
  }

  /**
   * Returns the heartbeat record of a target, and creates it for a new incarnation. If that
   * incarnation is registered already, the record starts with the longest lease that an earlier
   * leader may have granted.
   */
  TargetHeartbeat getOrCreate(long nowNanos, TargetRecord target, FleetState state) {
    TargetHeartbeat heartbeat = byId.get(target.id());
    if (heartbeat == null || heartbeat.incarnationMillis() < target.incarnationMillis()) {
      boolean known =
          state
              .target(target.id())
              .filter(t -> t.incarnationMillis() == target.incarnationMillis())
              .isPresent();
      GrantMethod method = grantMethods.apply(target.service());
      long leaseEndNanos = known ? termStartNanos + settings.leaseNanos(method) : nowNanos;
      if (heartbeat != null && !known && method == GrantMethod.CALL) {
        // A call to the earlier incarnation may have reached this one.
        leaseEndNanos = heartbeat.leaseEndNanos();
      }
      long grantedIndex = known ? state.index() : 0;
      heartbeat =
          new TargetHeartbeat(
              target.incarnationMillis(),
              nowNanos,
              leaseEndNanos,
              grantedIndex,
              new CallLeases(settings.leaseNanos()));
      byId.put(target.id(), heartbeat);
    }
    return heartbeat;
  }

  /** Removes the records of targets that were removed long ago and can hold no key any more. */
  void evictRemoved(long nowNanos, FleetState state) {
    byId.entrySet()
        .removeIf(
            e ->
                state.target(e.getKey()).isEmpty()
                    && e.getValue().isLeaseEnded(nowNanos)
                    && nowNanos - e.getValue().lastReportNanos() > REMOVED_RETENTION_NANOS);
  }

  /**
   * Returns whether a report is outdated: it is of an earlier incarnation, has a lower sequence
   * number than the last report, has an earlier phase than the one that is registered, or conflicts
   * with a target in use.
   */
  boolean isOutdated(HeartbeatReport report, FleetState state) {
    TargetRecord target = report.target();
    Optional<TargetRecord> registered = state.target(target.id());
    boolean earlierIncarnation =
        registered.filter(t -> t.incarnationMillis() > target.incarnationMillis()).isPresent();
    boolean earlierPhase =
        registered
            .filter(t -> t.incarnationMillis() == target.incarnationMillis())
            .filter(t -> t.phase().compareTo(target.phase()) > 0)
            .isPresent();
    return earlierIncarnation
        || earlierPhase
        || state.conflictsWithTargetInUse(target)
        || state.hasDeparted(target)
        || isOutOfOrder(report);
  }

  private boolean isOutOfOrder(HeartbeatReport report) {
    long incarnationMillis = report.target().incarnationMillis();
    return find(report.target().id())
        .filter(
            h ->
                h.incarnationMillis() > incarnationMillis
                    || h.incarnationMillis() == incarnationMillis && h.isStale(report.sequence()))
        .isPresent();
  }

  /**
   * Returns whether a target is warming up by its last report of this term. After the evacuation of
   * its zone a target counts as cold until it reports, because it may have become cold meanwhile.
   */
  WarmupState warmupState(long nowNanos, TargetId target) {
    Optional<TargetHeartbeat> heartbeat = find(target);
    if (heartbeat.filter(h -> !h.hasReportedSinceEvacuation()).isPresent()) {
      return WarmupState.COLD;
    }
    return heartbeat
        .filter(h -> h.reports() > 0)
        .map(h -> h.isWarmedUp(nowNanos) ? WarmupState.WARM : WarmupState.COLD)
        .orElse(WarmupState.UNKNOWN);
  }

  /** Returns whether a target has reported to this leader, and recently enough to receive keys. */
  boolean isReporting(long nowNanos, TargetId target) {
    long maxAgeMillis = (long) (MAX_REPORT_AGE_INTERVALS * settings.reportIntervalMillis());
    return find(target)
        .filter(h -> h.reports() > 0)
        .filter(h -> nowNanos - h.lastReportNanos() < TimeUnit.MILLISECONDS.toNanos(maxAgeMillis))
        .isPresent();
  }

  /** Returns the time until a target can be granted keys. */
  double secondsUntilGrant(long nowNanos, TargetRecord target) {
    return grantMethods.apply(target.service()) == GrantMethod.CALL
        ? GRANT_CALL_SECONDS
        : secondsUntilNextReport(nowNanos, target.id());
  }

  private double secondsUntilNextReport(long nowNanos, TargetId target) {
    long intervalNanos = TimeUnit.MILLISECONDS.toNanos(settings.reportIntervalMillis());
    long dueNanos =
        find(target).map(TargetHeartbeat::lastReportNanos).orElse(nowNanos) + intervalNanos;
    return Math.max(0, dueNanos - nowNanos) / (double) TimeUnit.SECONDS.toNanos(1);
  }

  /** Returns whether a target can receive keys: it reports, and its last calls did not fail. */
  boolean canReceiveKeys(long nowNanos, TargetId target) {
    return isReporting(nowNanos, target)
        && find(target).filter(h -> h.callLeases().isFailing(nowNanos)).isEmpty();
  }

  /**
   * Returns whether a target can hold no key of a range any more; true also for an unknown target.
   */
  boolean isLeaseEnded(long nowNanos, TargetId target, KeyRange range) {
    return find(target).filter(h -> !h.isLeaseEnded(nowNanos, range)).isEmpty();
  }

  long countEndedLeases(long nowNanos) {
    return byId.values().stream().filter(h -> h.isLeaseEnded(nowNanos)).count();
  }
}
