package io.coltsfootwheel.dispatch;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Limits retries to 10% of the first attempts of the last 10 seconds, with a minimum of 10. */
final class RetryBudget {
  private static final int WINDOW_BUCKETS = 10;
  private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final double RETRY_RATIO = 0.1;

  /** Without a minimum, an entry with a few requests per second could never retry. */
  private static final int MIN_RETRIES = 10;

  private final long[] firstAttempts = new long[WINDOW_BUCKETS];
  private final long[] retries = new long[WINDOW_BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  void recordFirstAttempt(long nowNanos) {
    advanceWindow(nowNanos);
    firstAttempts[(int) Math.floorMod(currentBucket, (long) WINDOW_BUCKETS)]++;
  }

  boolean tryAcquireRetry(long nowNanos) {
    advanceWindow(nowNanos);
    long allowed = Math.max(MIN_RETRIES, (long) (RETRY_RATIO * Arrays.stream(firstAttempts).sum()));
    if (Arrays.stream(retries).sum() >= allowed) {
      return false;
    }
    retries[(int) Math.floorMod(currentBucket, (long) WINDOW_BUCKETS)]++;
    return true;
  }

  private void advanceWindow(long nowNanos) {
    long nowBucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (currentBucket == Long.MIN_VALUE || nowBucket - currentBucket >= WINDOW_BUCKETS) {
      Arrays.fill(firstAttempts, 0);
      Arrays.fill(retries, 0);
      currentBucket = nowBucket;
    }
    while (currentBucket < nowBucket) {
      currentBucket++;
      firstAttempts[(int) Math.floorMod(currentBucket, (long) WINDOW_BUCKETS)] = 0;
      retries[(int) Math.floorMod(currentBucket, (long) WINDOW_BUCKETS)] = 0;
    }
  }
}
