package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target of a request, or refuses the request at once when it cannot be served in time.
 *
 * <p>A keyed request has one owner. While the key moves, the request waits if it can still be
 * served afterwards. An unkeyed request goes to the target that is expected to answer first. Both
 * are refused when the requests ahead of them leave too little of their time; a client that comes
 * back later finds a shorter queue, while one that waits in vain has lost its time.
 */
final class TargetChooser {
  /** Requests at a target beyond its slots that it still queues; it rejects more. */
  private static final int TARGET_QUEUE = 8;

  /** Part of the expected time that must remain; the expectation is an average. */
  private static final double NEEDED_SHARE = 0.6;

  /** Longest wait for a key that moves, as a part of the remaining time. */
  private static final double MAX_WAIT_SHARE = 0.6;

  /** Spread of the expected times, so that entries with equal knowledge choose differently. */
  private static final double JITTER = 0.3;

  private static final long MIN_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 1_000;
  private static final long NO_OWNER_RETRY_MILLIS = 300;
  private static final long MIN_WAIT_MILLIS = 20;

  private final UniformRandomProvider random;
  private final long drainMillis;

  TargetChooser(UniformRandomProvider random, long drainMillis) {
    this.random = random;
    this.drainMillis = drainMillis;
  }

  /** Decides on a keyed request. */
  Decision chooseOwner(
      FleetRouting routing, ServiceName service, int key, long nowNanos, long leftMillis) {
    Optional<OwnershipView.Range> range = routing.rangeOf(service, key);
    if (range.isEmpty()) {
      return waitOrRefuse("key has no owner", NO_OWNER_RETRY_MILLIS, leftMillis);
    }
    if (!range.get().granted()) {
      return waitOrRefuse("key is moving", range.get().readyInMillis(), leftMillis);
    }
    Optional<TargetStats> owner = routing.target(range.get().owner());
    if (owner.isEmpty() || !owner.get().isServing(nowNanos, drainMillis)) {
      return waitOrRefuse("owner is leaving", NO_OWNER_RETRY_MILLIS, leftMillis);
    }
    if (owner.get().isSuspect(nowNanos)) {
      return new Decision.Refuse("owner does not answer", MAX_RETRY_MILLIS);
    }
    return admit(owner.get(), leftMillis);
  }

  /** Decides on an unkeyed request; targets that were tried are used only when no other is left. */
  Decision chooseAny(
      FleetRouting routing,
      ServiceName service,
      Set<TargetId> tried,
      long nowNanos,
      long leftMillis) {
    List<TargetStats> serving =
        routing.targetsOf(service).stream()
            .filter(t -> t.isServing(nowNanos, drainMillis))
            .toList();
    if (serving.isEmpty()) {
      return new Decision.Refuse("service has no targets", MAX_RETRY_MILLIS);
    }
    return serving.stream()
        .min(Comparator.comparingDouble(t -> score(t, tried.contains(t.spec().id()), nowNanos)))
        .map(t -> admit(t, leftMillis))
        .orElseThrow();
  }

  private double score(TargetStats target, boolean tried, long nowNanos) {
    double jitter = 1 + JITTER * random.nextDouble();
    double penalty = (tried ? 1e6 : 0) + (target.isSuspect(nowNanos) ? 1e5 : 0);
    boolean preferred = target.spec().phase() == TargetPhase.READY;
    return target.expectedMillis() * jitter + penalty + (preferred ? 0 : 1e4);
  }

  private static Decision admit(TargetStats target, long leftMillis) {
    long expectedMillis = target.expectedMillis();
    boolean full = target.estimatedInFlight() >= target.spec().slots() + TARGET_QUEUE;
    if (full || expectedMillis * NEEDED_SHARE > leftMillis) {
      long retryMillis = Math.max(MIN_RETRY_MILLIS, expectedMillis / 2);
      return new Decision.Refuse(
          full ? "target queue is full" : "not enough time left",
          Math.min(MAX_RETRY_MILLIS, retryMillis));
    }
    return new Decision.Send(target);
  }

  private static Decision waitOrRefuse(String reason, long readyInMillis, long leftMillis) {
    if (readyInMillis > leftMillis * MAX_WAIT_SHARE) {
      return new Decision.Refuse(
          reason, Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, readyInMillis)));
    }
    return new Decision.Wait(
        Math.max(MIN_WAIT_MILLIS, (long) (leftMillis * MAX_WAIT_SHARE)), reason);
  }
}
