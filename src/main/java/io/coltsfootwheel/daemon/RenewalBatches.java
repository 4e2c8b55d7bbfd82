package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.Renewal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Renewals that wait for a quorum round of the leader.
 *
 * <p>One round confirms all renewals that arrived before it. A round for each renewal would send a
 * heartbeat to every member for every renewal of every instance.
 */
final class RenewalBatches {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private final Map<Long, List<Renewal>> batchByRequest = new HashMap<>();
  private List<Renewal> waiting = new ArrayList<>();
  private long nextRoundNanos = Long.MIN_VALUE;

  /**
   * Adds a renewal to the next round.
   *
   * @param renewal an allowed renewal
   */
  void add(Renewal renewal) {
    waiting.add(renewal);
  }

  /**
   * Tells whether a round is due.
   *
   * @param nowNanos monotonic time
   * @return true when renewals wait and the last round is long enough ago
   */
  boolean isRoundDue(long nowNanos) {
    return !waiting.isEmpty()
        && (nextRoundNanos == Long.MIN_VALUE || nowNanos - nextRoundNanos >= 0);
  }

  /**
   * Assigns the waiting renewals to a round that begins now.
   *
   * @param nowNanos monotonic time
   * @param requestId number of the question whether this member still leads
   */
  void startRound(long nowNanos, long requestId) {
    batchByRequest.put(requestId, waiting);
    waiting = new ArrayList<>();
    nextRoundNanos = nowNanos + INTERVAL_NANOS;
  }

  /**
   * Returns the renewals of a round that has ended, and forgets them.
   *
   * @param requestId number of the question
   * @return the renewals, empty for an unknown round
   */
  List<Renewal> end(long requestId) {
    List<Renewal> batch = batchByRequest.remove(requestId);
    return batch == null ? List.of() : batch;
  }

  /** Forgets all renewals when the leadership ends. */
  void clear() {
    batchByRequest.clear();
    waiting = new ArrayList<>();
  }
}
