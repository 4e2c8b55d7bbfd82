package io.coltsfootwheel.loadcontrol;

/**
 * Token bucket that refills continuously up to a burst.
 *
 * <p>Usage: {@code new TokenBucket(nowNanos, burst).take(nowNanos, ratePerSecond, burst, 1)}.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long lastRefillNanos;

  /**
   * Creates a bucket.
   *
   * @param nowNanos monotonic time
   * @param burst initial number of tokens
   */
  public TokenBucket(long nowNanos, double burst) {
    this.tokens = burst;
    this.lastRefillNanos = nowNanos;
  }

  /**
   * Takes up to {@code maxTokens} whole tokens.
   *
   * @param nowNanos monotonic time
   * @param ratePerSecond tokens that are added each second
   * @param burst largest number of tokens that the bucket holds
   * @param maxTokens largest number of tokens to take
   * @return the number of tokens taken
   */
  public int take(long nowNanos, double ratePerSecond, double burst, int maxTokens) {
    int taken = Math.min(maxTokens, available(nowNanos, ratePerSecond, burst));
    tokens -= taken;
    return taken;
  }

  /**
   * Returns the whole tokens that can be taken.
   *
   * @param nowNanos monotonic time
   * @param ratePerSecond tokens that are added each second
   * @param burst largest number of tokens that the bucket holds
   * @return the number of tokens
   */
  public int available(long nowNanos, double ratePerSecond, double burst) {
    double refilled = (nowNanos - lastRefillNanos) * ratePerSecond / NANOS_PER_SECOND;
    tokens = Math.min(burst, tokens + refilled);
    lastRefillNanos = nowNanos;
    return (int) Math.floor(tokens);
  }

  /**
   * Returns the time from the last {@link #take} until one whole token is available.
   *
   * @param ratePerSecond tokens that are added each second
   * @return milliseconds, 0 when a token is available or the rate is 0
   */
  public long millisUntilToken(double ratePerSecond) {
    double missing = Math.max(0, 1 - tokens);
    return ratePerSecond > 0 ? (long) Math.ceil(missing * 1_000 / ratePerSecond) : 0;
  }
}
