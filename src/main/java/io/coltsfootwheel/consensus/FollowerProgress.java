package io.coltsfootwheel.consensus;

import java.util.Optional;

/** Replication state of one other member, as tracked by the leader. */
final class FollowerProgress {
  private long nextIndex;
  private long matchIndex;
  private long acknowledgedRound;
  private long lastContactNanos;
  private boolean heard;
  private boolean probing = true;

  /** Index before the entries that answered the last rejection, and the round at that time. */
  private long probeIndex;

  private long probeRound;
  private Optional<SnapshotTransfer> transfer = Optional.empty();

  FollowerProgress(long nextIndex, long nowNanos) {
    this.nextIndex = nextIndex;
    lastContactNanos = nowNanos;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long acknowledgedRound() {
    return acknowledgedRound;
  }

  /** Tells whether the member responded, or tracking of it began, within a time span. */
  boolean hasContactWithin(long nowNanos, long spanNanos) {
    return nowNanos - lastContactNanos < spanNanos;
  }

  boolean hasResponded() {
    return heard;
  }

  /** Tells whether the last common log entry is unknown, so that one request at a time is sent. */
  boolean isProbing() {
    return probing;
  }

  Optional<SnapshotTransfer> transfer() {
    return transfer;
  }

  void beginTransfer(ReplicationSnapshot snapshot) {
    transfer = Optional.of(new SnapshotTransfer(snapshot));
  }

  void recordSent(long index) {
    nextIndex = index + 1;
  }

  void recordResponse(long round, long nowNanos) {
    acknowledgedRound = Math.max(acknowledgedRound, round);
    lastContactNanos = nowNanos;
    heard = true;
  }

  void recordMatch(long index) {
    probing = false;
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    transfer = transfer.filter(t -> t.snapshot().index() > matchIndex);
  }

  /**
   * Moves back after a log mismatch; returns false for a delayed rejection, which is ignored. A
   * rejection is delayed when it answers a message that was sent before the last move back.
   *
   * @param round round that the response repeats
   * @param currentRound latest round, in which the next entries are sent
   */
  boolean recordRejection(long rejectedIndex, long retryIndex, long round, long currentRound) {
    boolean isCurrent =
        rejectedIndex > matchIndex
            && rejectedIndex < nextIndex
            && (round > probeRound || rejectedIndex <= probeIndex);
    if (isCurrent) {
      probing = true;
      nextIndex = Math.max(matchIndex, Math.min(retryIndex, rejectedIndex - 1)) + 1;
      probeIndex = nextIndex - 1;
      probeRound = currentRound;
    }
    return isCurrent;
  }
}
