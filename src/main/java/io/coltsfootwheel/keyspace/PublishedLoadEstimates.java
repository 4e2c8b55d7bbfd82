package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Load estimates as entries know them, with the sequence number of the last change of each.
 *
 * <p>An entry states up to which number it has received the estimates, and receives those that
 * changed later. A small change is published only after a while, because at high load the estimates
 * of all targets change slightly all the time, and the messages share the entry's link with the
 * traffic of its clients.
 */
public final class PublishedLoadEstimates {
  /** Difference in requests in flight that is published at once. */
  private static final int SIGNIFICANT_IN_FLIGHT = 2;

  /** Difference in requests in flight that is published at once, relative to the requests. */
  private static final double SIGNIFICANT_IN_FLIGHT_RATIO = 0.2;

  /** Difference in time per request that is published at once, relative to the published time. */
  private static final double SIGNIFICANT_TIME_RATIO = 0.15;

  /**
   * Difference in the concurrency limit that is published at once, relative to the published limit.
   */
  private static final double SIGNIFICANT_LIMIT_RATIO = 0.15;

  /**
   * Difference in time per request that is never published alone. The estimate of a target that
   * completes a request now and then drifts all the time.
   */
  private static final int NEGLIGIBLE_TIME_MILLIS = 10;

  /** Smallest difference in time per request that is published at once. */
  private static final int SIGNIFICANT_TIME_MILLIS = 20;

  /** Longest time for which a smaller difference is not published. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<TargetId, Published> byTarget = new HashMap<>();
  private long sequence;

  private record Published(TargetLoadEstimate estimate, long publishedNanos, long sequence) {}

  /**
   * Publishes the estimates that are new or have changed enough.
   *
   * @param nowNanos monotonic time
   * @param current estimates of all targets
   */
  public void update(long nowNanos, Map<TargetId, TargetLoadEstimate> current) {
    byTarget.keySet().retainAll(current.keySet());
    long nextSequence = sequence + 1;
    current.forEach(
        (target, estimate) -> {
          if (isDue(nowNanos, byTarget.get(target), estimate)) {
            byTarget.put(target, new Published(estimate, nowNanos, nextSequence));
            sequence = nextSequence;
          }
        });
  }

  /**
   * Returns the number of the last change, 0 before the first one.
   *
   * @return the sequence number
   */
  public long sequence() {
    return sequence;
  }

  /**
   * Returns the estimates that changed after a sequence number.
   *
   * @param receivedSequence number up to which the receiver has the estimates, 0 for none
   * @return published estimates by target
   */
  public Map<TargetId, TargetLoadEstimate> changedSince(long receivedSequence) {
    if (receivedSequence == sequence) {
      return Map.of();
    }
    Map<TargetId, TargetLoadEstimate> changed = new HashMap<>();
    byTarget.forEach(
        (target, published) -> {
          if (published.sequence() > receivedSequence) {
            changed.put(target, published.estimate());
          }
        });
    return changed;
  }

  private static boolean isDue(long nowNanos, Published published, TargetLoadEstimate estimate) {
    if (published == null) {
      return true;
    }
    return !isNegligible(published.estimate(), estimate)
        && (isSignificant(published.estimate(), estimate)
            || nowNanos - published.publishedNanos() >= MAX_AGE_NANOS);
  }

  private static boolean isNegligible(TargetLoadEstimate before, TargetLoadEstimate now) {
    int timeDifferenceMillis = Math.abs(now.millisPerRequest() - before.millisPerRequest());
    return now.inFlight() == before.inFlight()
        && now.concurrencyLimit() == before.concurrencyLimit()
        && timeDifferenceMillis <= NEGLIGIBLE_TIME_MILLIS;
  }

  private static boolean isSignificant(TargetLoadEstimate before, TargetLoadEstimate now) {
    int inFlightDifference = Math.abs(now.inFlight() - before.inFlight());
    int timeDifferenceMillis = Math.abs(now.millisPerRequest() - before.millisPerRequest());
    int limitDifference = Math.abs(now.concurrencyLimit() - before.concurrencyLimit());
    return inFlightDifference
            >= Math.max(SIGNIFICANT_IN_FLIGHT, SIGNIFICANT_IN_FLIGHT_RATIO * before.inFlight())
        || timeDifferenceMillis
            > Math.max(SIGNIFICANT_TIME_MILLIS, SIGNIFICANT_TIME_RATIO * before.millisPerRequest())
        || limitDifference > SIGNIFICANT_LIMIT_RATIO * before.concurrencyLimit();
  }
}
