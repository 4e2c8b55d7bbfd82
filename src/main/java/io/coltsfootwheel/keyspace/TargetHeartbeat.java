package io.coltsfootwheel.keyspace;

/** Reports of one incarnation of a target to the current leader, and the lease granted to it. */
final class TargetHeartbeat {
  private final long incarnationMillis;
  private final CallLeases callLeases;
  private long sequence;
  private long lastReportNanos;
  private int reports;
  private long leaseEndNanos;
  private long grantedIndex;
  private long warmupEndNanos;
  private boolean awaitsReportSinceEvacuation;

  /**
   * Creates the record with the longest lease that an earlier leader may have granted.
   *
   * @param incarnationMillis incarnation of the target
   * @param nowNanos monotonic time
   * @param leaseEndNanos end of a lease that an earlier leader may have granted
   * @param grantedIndex log index up to which assignments are taken as granted to the target
   * @param callLeases receives the leases granted by calls
   */
  TargetHeartbeat(
      long incarnationMillis,
      long nowNanos,
      long leaseEndNanos,
      long grantedIndex,
      CallLeases callLeases) {
    this.callLeases = callLeases;
    this.incarnationMillis = incarnationMillis;
    this.lastReportNanos = nowNanos;
    this.leaseEndNanos = leaseEndNanos;
    this.grantedIndex = grantedIndex;
    this.warmupEndNanos = nowNanos;
  }

  long incarnationMillis() {
    return incarnationMillis;
  }

  boolean isStale(long reportSequence) {
    return reports > 0 && reportSequence < sequence;
  }

  void recordReport(long nowNanos, long reportSequence, long newWarmupEndNanos) {
    sequence = reportSequence;
    lastReportNanos = nowNanos;
    warmupEndNanos = newWarmupEndNanos;
    awaitsReportSinceEvacuation = false;
    reports++;
  }

  /**
   * Records that the evacuation of the target's zone has ended. The target may have become cold
   * meanwhile and says so in its next report.
   */
  void recordEvacuationEnd() {
    awaitsReportSinceEvacuation = true;
  }

  /** Returns whether the target has reported since the end of an evacuation in this term. */
  boolean hasReportedSinceEvacuation() {
    return !awaitsReportSinceEvacuation;
  }

  void recordGrant(long newLeaseEndNanos, long index) {
    leaseEndNanos = Math.max(leaseEndNanos, newLeaseEndNanos);
    grantedIndex = index;
  }

  long sequence() {
    return sequence;
  }

  long lastReportNanos() {
    return lastReportNanos;
  }

  int reports() {
    return reports;
  }

  boolean isWarmedUp(long nowNanos) {
    return nowNanos - warmupEndNanos >= 0;
  }

  /** Returns the end of the last lease on any key. */
  long leaseEndNanos() {
    return callLeases.endNanos(KeyRange.ALL, leaseEndNanos);
  }

  /** Returns the end of the last lease on a key of a range. */
  long leaseEndNanos(KeyRange range) {
    return callLeases.endNanos(range, leaseEndNanos);
  }

  boolean isLeaseEnded(long nowNanos) {
    return isLeaseEnded(nowNanos, KeyRange.ALL);
  }

  boolean isLeaseEnded(long nowNanos, KeyRange range) {
    return nowNanos - leaseEndNanos > 0 && callLeases.isEnded(nowNanos, range);
  }

  /**
   * Returns whether a lease outside of {@link #callLeases()} is in force: one that was granted in
   * an answer to a report, or one that an earlier leader may have granted.
   */
  boolean isAnsweredLeaseInForce(long nowNanos) {
    return nowNanos - leaseEndNanos <= 0;
  }

  long grantedIndex() {
    return grantedIndex;
  }

  /** Returns whether the target was granted a range and its lease has not ended. */
  boolean isGranted(long nowNanos, OwnedRange owned) {
    boolean inAnswer = owned.fence().value() <= grantedIndex && isAnsweredLeaseInForce(nowNanos);
    return inAnswer || callLeases.isHeld(nowNanos, owned.range());
  }

  /** Returns whether a grant of a key of the range may ever have been sent. */
  boolean mayHaveBeenGranted(OwnedRange owned) {
    return owned.fence().value() <= grantedIndex || callLeases.wasSent(owned.range());
  }

  CallLeases callLeases() {
    return callLeases;
  }
}
