package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.Renewal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Renewals that wait until the leader has confirmed its leadership with a quorum.
 *
 * <p>One confirmation round covers all renewals that arrived before it. A separate round for each
 * renewal would send a heartbeat to every member for every renewal of every instance.
 */
final class RenewalBatches {
  private static final long ROUND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private final Map<Long, List<Renewal>> batchByRequest = new HashMap<>();
  private List<Renewal> unassigned = new ArrayList<>();
  private long nextRoundNanos = Long.MIN_VALUE;

  /**
   * Adds a renewal to the next round.
   *
   * @param renewal a renewal that the supervisor allows
   */
  void add(Renewal renewal) {
    unassigned.add(renewal);
  }

  /**
   * Returns whether a round is due.
   *
   * @param nowNanos monotonic time
   * @return true when renewals wait and the interval since the last round has passed
   */
  boolean isRoundDue(long nowNanos) {
    return !unassigned.isEmpty()
        && (nextRoundNanos == Long.MIN_VALUE || nowNanos - nextRoundNanos >= 0);
  }

  /**
   * Starts a round with the renewals that wait.
   *
   * @param nowNanos monotonic time
   * @param requestId number of the leadership confirmation
   */
  void startRound(long nowNanos, long requestId) {
    batchByRequest.put(requestId, unassigned);
    unassigned = new ArrayList<>();
    nextRoundNanos = nowNanos + ROUND_INTERVAL_NANOS;
  }

  /**
   * Removes and returns the renewals of a round that has ended.
   *
   * @param requestId number of the leadership confirmation
   * @return the renewals, empty for an unknown round
   */
  List<Renewal> takeBatch(long requestId) {
    List<Renewal> batch = batchByRequest.remove(requestId);
    return batch == null ? List.of() : batch;
  }

  /** Removes all renewals when the leadership ends. */
  void clear() {
    batchByRequest.clear();
    unassigned = new ArrayList<>();
  }
}
