package io.coltsfootwheel.keyspace;

/** Reports of one incarnation of a target to the current leader, and the lease granted to it. */
final class TargetHeartbeat {
  private final long incarnationMillis;
  private long sequence;
  private long lastReportNanos;
  private int reports;
  private long leaseEndNanos;
  private long grantedIndex;
  private long warmupEndNanos;

  /**
   * Creates the record with the longest lease that an earlier leader may have granted.
   *
   * @param incarnationMillis incarnation of the target
   * @param nowNanos monotonic time
   * @param leaseEndNanos end of a lease that an earlier leader may have granted
   * @param grantedIndex log index up to which assignments are taken as granted to the target
   */
  TargetHeartbeat(long incarnationMillis, long nowNanos, long leaseEndNanos, long grantedIndex) {
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
    reports++;
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

  long leaseEndNanos() {
    return leaseEndNanos;
  }

  boolean isLeaseEnded(long nowNanos) {
    return nowNanos - leaseEndNanos > 0;
  }

  long grantedIndex() {
    return grantedIndex;
  }
}
