package io.coltsfootwheel.loadcontrol;

import java.util.concurrent.TimeUnit;

/**
 * Share of an entry's requests that it may send to one target, so that all entries together stay
 * below the concurrency limit of the target.
 *
 * <p>Load pattern: a hot key. All entries see the same requests in flight, up to 200 ms old. If
 * each of them sends whenever these are below the limit, they fill a small target many times over
 * before the next estimate. The share is chosen so that the requests expected from the other
 * entries within the age of an estimate use only the room below the limit and what the target
 * completes meanwhile. Other entries are assumed to have as many requests as this one.
 */
public final class AdmissionShare {
  /** Age of an estimate on average: entries report each 100 ms, and receive the sum as often. */
  private static final double ESTIMATE_AGE_SECONDS = 0.15;

  /** An entry has about one request each second for one target. */
  private static final double RATE_TIME_CONSTANT_SECONDS = 3;

  /** Requests before the current one: with it, the rate would seem higher than on average. */
  private double requestsPerSecondBefore;

  private double requestsPerSecond;
  private long updatedNanos;
  private double credit = 1;

  /**
   * Counts a request for the target, whether it is sent or not.
   *
   * @param nowNanos monotonic time
   */
  public void recordRequest(long nowNanos) {
    double elapsed = (double) (nowNanos - updatedNanos) / TimeUnit.SECONDS.toNanos(1);
    requestsPerSecondBefore =
        requestsPerSecond * Math.exp(-Math.max(0, elapsed) / RATE_TIME_CONSTANT_SECONDS);
    requestsPerSecond = requestsPerSecondBefore + 1 / RATE_TIME_CONSTANT_SECONDS;
    updatedNanos = nowNanos;
  }

  /**
   * Returns whether the request that was counted last may be sent; if so, it counts as sent.
   *
   * @param room concurrency limit less the estimated requests in flight
   * @param completedPerSecond requests that the target completes each second when it is busy
   * @param otherEntries number of other entries
   * @return false if the request would be one too many for the share of this entry
   */
  public boolean tryAdmit(double room, double completedPerSecond, int otherEntries) {
    double fromOthers = otherEntries * requestsPerSecondBefore * ESTIMATE_AGE_SECONDS;
    double accepted = Math.max(0, room + completedPerSecond * ESTIMATE_AGE_SECONDS);
    credit = Math.min(1, credit + (fromOthers <= accepted ? 1 : accepted / fromOthers));
    if (credit < 1) {
      return false;
    }
    credit--;
    return true;
  }
}
