package io.coltsfootwheel.consensus;

import java.util.Optional;

/** What the leader knows about one other member. */
final class FollowerProgress {
  private long nextIndex;
  private long matchIndex;
  private long acknowledgedRound;
  private long heardNanos;
  private boolean heard;
  private boolean probing = true;
  private Optional<SnapshotTransfer> transfer = Optional.empty();

  FollowerProgress(long nextIndex, long nowNanos) {
    this.nextIndex = nextIndex;
    heardNanos = nowNanos;
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

  /** Tells whether the member answered, or leadership began, within a time span. */
  boolean isHeardWithin(long nowNanos, long spanNanos) {
    return nowNanos - heardNanos < spanNanos;
  }

  boolean hasAnswered() {
    return heard;
  }

  /** Tells whether the point of agreement is unknown, so that one message at a time is sent. */
  boolean isProbing() {
    return probing;
  }

  Optional<SnapshotTransfer> transfer() {
    return transfer;
  }

  void beginTransfer(ReplicationSnapshot snapshot) {
    transfer = Optional.of(new SnapshotTransfer(snapshot));
  }

  void sentUpTo(long index) {
    nextIndex = index + 1;
  }

  void acknowledge(long round, long nowNanos) {
    acknowledgedRound = Math.max(acknowledgedRound, round);
    heardNanos = nowNanos;
    heard = true;
  }

  void matched(long index) {
    probing = false;
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    transfer = transfer.filter(t -> t.snapshot().index() > matchIndex);
  }

  /** Moves back after a mismatch; a delayed rejection of an earlier try is ignored. */
  boolean rejected(long rejectedIndex, long retryAfter) {
    boolean valid = rejectedIndex > matchIndex && rejectedIndex < nextIndex;
    if (valid) {
      probing = true;
      nextIndex = Math.max(matchIndex, Math.min(retryAfter, rejectedIndex - 1)) + 1;
    }
    return valid;
  }
}
