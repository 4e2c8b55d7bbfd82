package io.coltsfootwheel.loadcontrol;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Demand of the requests of one service by priority, over the last seconds.
 *
 * <p>Usage: {@code add} what was observed, then {@code slotsByPriority}.
 */
public final class DemandStatistics {
  private static final double TIME_CONSTANT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Shortest observation time of a rate; over less, it would depend on a few requests. */
  private static final double MIN_OBSERVATION_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Weight, in requests, of the assumed time per request before enough responses are timed. */
  private static final double PRIOR_REQUESTS = 4;

  private static final double PRIOR_MILLIS_PER_REQUEST = 120;

  /**
   * Demand below which a priority counts as absent: a slot that is used a hundredth of the time.
   */
  private static final double MIN_SLOTS = 0.01;

  private final Map<Integer, Sums> byPriority = new TreeMap<>();

  /** Sums whose parts decay exponentially with their age. */
  private static final class Sums {
    private final long firstNanos;
    private long updatedNanos;
    private double requests;
    private double timedRequests;
    private double timedMillis;

    private Sums(long nowNanos) {
      firstNanos = nowNanos;
      updatedNanos = nowNanos;
    }

    private void decay(long nowNanos) {
      double factor = Math.exp(-Math.max(0, nowNanos - updatedNanos) / TIME_CONSTANT_NANOS);
      requests *= factor;
      timedRequests *= factor;
      timedMillis *= factor;
      updatedNanos = nowNanos;
    }

    private double slots(long nowNanos) {
      double observedNanos = Math.max(MIN_OBSERVATION_NANOS, nowNanos - firstNanos);
      double windowNanos = TIME_CONSTANT_NANOS * -Math.expm1(-observedNanos / TIME_CONSTANT_NANOS);
      double millisPerRequest =
          (timedMillis + PRIOR_REQUESTS * PRIOR_MILLIS_PER_REQUEST)
              / (timedRequests + PRIOR_REQUESTS);
      return requests * TimeUnit.MILLISECONDS.toNanos(1) * millisPerRequest / windowNanos;
    }
  }

  /**
   * Adds observations.
   *
   * @param nowNanos monotonic time
   * @param priority priority of the requests; 0 is the highest
   * @param requests requests that arrived, also refused ones
   * @param timedRequests responses of targets that had a free slot when the request was sent
   * @param timedMillis sum of their times
   */
  public void add(long nowNanos, int priority, int requests, int timedRequests, long timedMillis) {
    Sums sums = byPriority.computeIfAbsent(priority, p -> new Sums(nowNanos));
    sums.decay(nowNanos);
    sums.requests += requests;
    sums.timedRequests += timedRequests;
    sums.timedMillis += timedMillis;
  }

  /**
   * Returns the demand of each priority that has some, and forgets those that have none.
   *
   * @param nowNanos monotonic time
   * @return slots that its requests occupy at the same time on average, by priority
   */
  public SortedMap<Integer, Double> slotsByPriority(long nowNanos) {
    SortedMap<Integer, Double> slots = new TreeMap<>();
    byPriority.values().forEach(s -> s.decay(nowNanos));
    byPriority.values().removeIf(s -> s.slots(nowNanos) < MIN_SLOTS);
    byPriority.forEach((priority, sums) -> slots.put(priority, sums.slots(nowNanos)));
    return slots;
  }
}
