package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One entry's share of the retries that all entries together may send to a service.
 *
 * <p>Designed for many requests that fail at once: unlimited retries would keep the targets
 * overloaded. The retries within a sliding window are limited to a ratio of the requests in it plus
 * an equal share of a fixed allowance.
 */
public final class FleetRetryBudget {
  private static final int BUCKET_COUNT = 20;

  /** Fraction of the limit that is used; the rest is a margin for entries whose counts differ. */
  private static final double SAFETY_FACTOR = 0.75;

  private final double ratio;
  private final double allowance;
  private final long bucketNanos;
  private final Map<ServiceName, Window> windows = new HashMap<>();

  private static final class Window {
    private final long[] requests = new long[BUCKET_COUNT];
    private final long[] retries = new long[BUCKET_COUNT];
    private long currentBucket;

    private void advance(long newBucket) {
      for (long b = Math.max(currentBucket + 1, newBucket - BUCKET_COUNT + 1);
          b <= newBucket;
          b++) {
        requests[(int) (b % BUCKET_COUNT)] = 0;
        retries[(int) (b % BUCKET_COUNT)] = 0;
      }
      currentBucket = Math.max(currentBucket, newBucket);
    }

    private static long sum(long[] counts) {
      long sum = 0;
      for (long count : counts) {
        sum += count;
      }
      return sum;
    }
  }

  /**
   * Creates a budget.
   *
   * @param ratio retries allowed per request
   * @param allowance additional retries that all entries together may make within a window
   * @param windowMillis length of the sliding window
   */
  public FleetRetryBudget(double ratio, double allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.bucketNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis) / BUCKET_COUNT;
  }

  /**
   * Counts a request.
   *
   * @param nowNanos monotonic time
   * @param service destination of the request
   */
  public void recordRequest(long nowNanos, ServiceName service) {
    Window window = window(nowNanos, service);
    window.requests[(int) (window.currentBucket % BUCKET_COUNT)]++;
  }

  /**
   * Takes one retry from the budget if one is left.
   *
   * @param nowNanos monotonic time
   * @param service destination of the retry
   * @param entryCount number of entries that share the allowance
   * @return false if the budget is exhausted
   */
  public boolean tryRetry(long nowNanos, ServiceName service, int entryCount) {
    Window window = window(nowNanos, service);
    double limit =
        SAFETY_FACTOR * (ratio * Window.sum(window.requests) + allowance / Math.max(1, entryCount));
    if (Window.sum(window.retries) + 1 > limit) {
      return false;
    }
    window.retries[(int) (window.currentBucket % BUCKET_COUNT)]++;
    return true;
  }

  private Window window(long nowNanos, ServiceName service) {
    Window window = windows.computeIfAbsent(service, s -> new Window());
    window.advance(Math.floorDiv(nowNanos, bucketNanos));
    return window;
  }
}
