package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Contacts of all targets with the present leader. */
final class Contacts {
  /** A report may be this late before its sender is passed over as a receiver of keys. */
  private static final double LATE_REPORT_INTERVALS = 1.6;

  private final OwnershipSettings settings;
  private final long gainedNanos;
  private final Map<TargetId, Contact> byId = new HashMap<>();

  Contacts(OwnershipSettings settings, long gainedNanos) {
    this.settings = settings;
    this.gainedNanos = gainedNanos;
  }

  Optional<Contact> find(TargetId target) {
    return Optional.ofNullable(byId.get(target));
  }

  /**
   * Returns the contact of a target. The first one of a life that is registered already starts with
   * the most that an earlier leader may have granted.
   */
  Contact of(long nowNanos, TargetRecord target, FleetState state) {
    Contact present = byId.get(target.id());
    if (present == null || present.bornMillis() < target.bornMillis()) {
      boolean known =
          state.target(target.id()).filter(t -> t.bornMillis() == target.bornMillis()).isPresent();
      long leaseEndNanos = known ? gainedNanos + settings.leaseNanos() : nowNanos;
      long answeredIndex = known ? state.index() : 0;
      present = new Contact(target.bornMillis(), nowNanos, leaseEndNanos, answeredIndex);
      byId.put(target.id(), present);
    }
    return present;
  }

  /**
   * Tells whether a report is older than what is known: an earlier life, a lower sequence, a target
   * that has already said that it leaves, or one whose address belongs to a later target.
   */
  boolean isOutdated(HeartbeatReport report, FleetState state) {
    TargetRecord target = report.target();
    Optional<TargetRecord> registered = state.target(target.id());
    boolean earlierLife = registered.filter(t -> t.bornMillis() > target.bornMillis()).isPresent();
    boolean leftAlready =
        registered
            .filter(t -> t.bornMillis() == target.bornMillis())
            .filter(t -> t.phase().compareTo(target.phase()) > 0)
            .isPresent();
    boolean addressTaken =
        state.targets().stream()
            .filter(t -> t.address().equals(target.address()) && !t.id().equals(target.id()))
            .anyMatch(t -> t.bornMillis() > target.bornMillis());
    return earlierLife || leftAlready || addressTaken || isLate(report);
  }

  private boolean isLate(HeartbeatReport report) {
    long bornMillis = report.target().bornMillis();
    return find(report.target().id())
        .filter(
            c ->
                c.bornMillis() > bornMillis
                    || c.bornMillis() == bornMillis && c.isStale(report.sequence()))
        .isPresent();
  }

  boolean isReporting(long nowNanos, TargetId target) {
    long longestMillis = (long) (LATE_REPORT_INTERVALS * settings.reportIntervalMillis());
    return find(target)
        .filter(c -> c.reports() > 0)
        .filter(c -> nowNanos - c.reportedNanos() < TimeUnit.MILLISECONDS.toNanos(longestMillis))
        .isPresent();
  }

  /** Returns the time until the next report of a target, at which it can be granted keys. */
  double secondsToReport(long nowNanos, TargetId target) {
    long intervalNanos = TimeUnit.MILLISECONDS.toNanos(settings.reportIntervalMillis());
    long dueNanos = find(target).map(Contact::reportedNanos).orElse(nowNanos) + intervalNanos;
    return Math.max(0, dueNanos - nowNanos) / (double) TimeUnit.SECONDS.toNanos(1);
  }

  boolean isLeaseEnded(long nowNanos, TargetId target) {
    return find(target).filter(c -> !c.isLeaseEnded(nowNanos)).isEmpty();
  }

  long endedLeases(long nowNanos) {
    return byId.values().stream().filter(c -> c.isLeaseEnded(nowNanos)).count();
  }
}
