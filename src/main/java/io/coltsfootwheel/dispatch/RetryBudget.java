package io.coltsfootwheel.dispatch;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Allows retries up to 10% of the first tries of the last 10 seconds. */
final class RetryBudget {
  private static final int BUCKETS = 10;
  private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final double RATIO = 0.1;

  /** An entry with a few requests per second could otherwise never retry. */
  private static final int MIN_RETRIES = 10;

  private final long[] firstTries = new long[BUCKETS];
  private final long[] retries = new long[BUCKETS];
  private long bucket = Long.MIN_VALUE;

  void firstTry(long nowNanos) {
    advance(nowNanos);
    firstTries[(int) Math.floorMod(bucket, (long) BUCKETS)]++;
  }

  boolean tryRetry(long nowNanos) {
    advance(nowNanos);
    long allowed = Math.max(MIN_RETRIES, (long) (RATIO * Arrays.stream(firstTries).sum()));
    if (Arrays.stream(retries).sum() >= allowed) {
      return false;
    }
    retries[(int) Math.floorMod(bucket, (long) BUCKETS)]++;
    return true;
  }

  private void advance(long nowNanos) {
    long now = Math.floorDiv(nowNanos, BUCKET_NANOS);
    if (bucket == Long.MIN_VALUE || now - bucket >= BUCKETS) {
      Arrays.fill(firstTries, 0);
      Arrays.fill(retries, 0);
      bucket = now;
    }
    while (bucket < now) {
      bucket++;
      firstTries[(int) Math.floorMod(bucket, (long) BUCKETS)] = 0;
      retries[(int) Math.floorMod(bucket, (long) BUCKETS)] = 0;
    }
  }
}
