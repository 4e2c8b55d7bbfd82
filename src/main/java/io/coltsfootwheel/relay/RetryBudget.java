package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Share of one entry in the retries that all entries together may add to the load of a service.
 *
 * <p>It answers the load in which many requests fail at once: without a bound, retries would keep
 * the targets overloaded. Retries in a sliding window are bounded by a ratio of the requests in it
 * and an equal share of a fixed allowance.
 */
public final class RetryBudget {
  private static final int BUCKETS = 20;

  /** Part of the allowance that is used; the rest covers entries that count differently. */
  private static final double SAFETY = 0.75;

  private final double ratio;
  private final double allowance;
  private final long bucketNanos;
  private final Map<ServiceName, Window> windows = new HashMap<>();

  private static final class Window {
    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long bucket;

    private void advance(long now) {
      for (long b = Math.max(bucket + 1, now - BUCKETS + 1); b <= now; b++) {
        requests[(int) (b % BUCKETS)] = 0;
        retries[(int) (b % BUCKETS)] = 0;
      }
      bucket = Math.max(bucket, now);
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
   * Makes a budget.
   *
   * @param ratio retries for each request
   * @param allowance retries of all entries together that are allowed besides
   * @param windowMillis length of the window
   */
  public RetryBudget(double ratio, double allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.bucketNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis) / BUCKETS;
  }

  /**
   * Counts a request.
   *
   * @param nowNanos monotonic time
   * @param service the service to which it goes
   */
  public void request(long nowNanos, ServiceName service) {
    Window window = window(nowNanos, service);
    window.requests[(int) (window.bucket % BUCKETS)]++;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowNanos monotonic time
   * @param service the service to which the retry goes
   * @param entries entries that share the allowance
   * @return false when the budget is used up
   */
  public boolean tryRetry(long nowNanos, ServiceName service, int entries) {
    Window window = window(nowNanos, service);
    double limit =
        SAFETY * (ratio * Window.sum(window.requests) + allowance / Math.max(1, entries));
    if (Window.sum(window.retries) + 1 > limit) {
      return false;
    }
    window.retries[(int) (window.bucket % BUCKETS)]++;
    return true;
  }

  private Window window(long nowNanos, ServiceName service) {
    Window window = windows.computeIfAbsent(service, s -> new Window());
    window.advance(Math.floorDiv(nowNanos, bucketNanos));
    return window;
  }
}
