package io.coltsfootwheel.loadcontrol;

import java.util.concurrent.TimeUnit;

/**
 * Tells whether the refusals of a target, or of all targets of a service, say that they are full.
 *
 * <p>Load pattern: a target that refuses many requests at any load, for example because a
 * dependency fails. Fewer requests in flight would not lead to fewer refusals, so its concurrency
 * limit must not fall. Requests that were sent to a free slot show this: a target that is only full
 * refuses few of them, since they exceed its slots only by what other entries sent meanwhile.
 */
public final class RefusalCriterion {
  /** Share of refusals among requests to free slots from which refusals do not depend on load. */
  private static final double MAX_FREE_REFUSAL_RATIO = 0.3;

  /** Requests to free slots from which their refusals count. */
  private static final double MIN_FREE_REQUESTS = 5;

  private static final double TIME_CONSTANT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private double freeRefusals;
  private double freeResponses;
  private long updatedNanos;

  /**
   * Adds what was observed.
   *
   * @param nowNanos monotonic time
   * @param counts refusals and responses since the last call
   */
  public void add(long nowNanos, RefusalCounts counts) {
    double factor = Math.exp(-Math.max(0, nowNanos - updatedNanos) / TIME_CONSTANT_NANOS);
    updatedNanos = nowNanos;
    freeRefusals = factor * freeRefusals + counts.freeRefusals();
    freeResponses = factor * freeResponses + counts.freeResponses();
  }

  /**
   * Returns whether fewer requests in flight would lead to fewer refusals.
   *
   * @return true also when little was observed
   */
  public boolean isLoadRelated() {
    double freeRequests = freeRefusals + freeResponses;
    return freeRequests < MIN_FREE_REQUESTS
        || freeRefusals <= MAX_FREE_REFUSAL_RATIO * freeRequests;
  }
}
