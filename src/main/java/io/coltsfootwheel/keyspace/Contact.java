package io.coltsfootwheel.keyspace;

/** What the control leader knows of a target from its reports to this leader. */
final class Contact {
  private final long bornMillis;
  private long sequence;
  private long reportedNanos;
  private int reports;
  private long leaseEndNanos;
  private long answeredIndex;
  private long warmNanos;

  /**
   * Starts with the most that an earlier leader may have granted.
   *
   * @param bornMillis life of the target
   * @param nowNanos monotonic time
   * @param leaseEndNanos end of a lease that another leader may have granted
   * @param answeredIndex log index up to which grants are taken to have reached the target
   */
  Contact(long bornMillis, long nowNanos, long leaseEndNanos, long answeredIndex) {
    this.bornMillis = bornMillis;
    this.reportedNanos = nowNanos;
    this.leaseEndNanos = leaseEndNanos;
    this.answeredIndex = answeredIndex;
    this.warmNanos = nowNanos;
  }

  long bornMillis() {
    return bornMillis;
  }

  boolean isStale(long reportSequence) {
    return reports > 0 && reportSequence < sequence;
  }

  void reported(long nowNanos, long reportSequence, long warmAtNanos) {
    sequence = reportSequence;
    reportedNanos = nowNanos;
    warmNanos = warmAtNanos;
    reports++;
  }

  void answered(long newLeaseEndNanos, long index) {
    leaseEndNanos = Math.max(leaseEndNanos, newLeaseEndNanos);
    answeredIndex = index;
  }

  long sequence() {
    return sequence;
  }

  long reportedNanos() {
    return reportedNanos;
  }

  int reports() {
    return reports;
  }

  boolean isWarm(long nowNanos) {
    return nowNanos - warmNanos >= 0;
  }

  long leaseEndNanos() {
    return leaseEndNanos;
  }

  boolean isLeaseEnded(long nowNanos) {
    return nowNanos - leaseEndNanos > 0;
  }

  long answeredIndex() {
    return answeredIndex;
  }
}
