package io.coltsfootwheel.dispatch;

/** Token bucket that refills continuously up to a burst. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long lastRefillNanos;

  TokenBucket(long nowNanos, double burst) {
    this.tokens = burst;
    this.lastRefillNanos = nowNanos;
  }

  /** Takes up to {@code maxTokens} whole tokens and returns how many it took. */
  int take(long nowNanos, double ratePerSecond, double burst, int maxTokens) {
    double refilled = (nowNanos - lastRefillNanos) * ratePerSecond / NANOS_PER_SECOND;
    tokens = Math.min(burst, tokens + refilled);
    lastRefillNanos = nowNanos;
    int taken = (int) Math.min(maxTokens, Math.floor(tokens));
    tokens -= taken;
    return taken;
  }

  /** Returns the time from the last {@link #take} until one whole token is available. */
  long millisUntilToken(double ratePerSecond) {
    double missing = Math.max(0, 1 - tokens);
    return ratePerSecond > 0 ? (long) Math.ceil(missing * 1_000 / ratePerSecond) : 0;
  }
}
