package io.coltsfootwheel.dispatch;

/** Rate tokens that refill continuously up to a burst. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long refilledNanos;

  TokenBucket(long nowNanos, double burst) {
    this.tokens = burst;
    this.refilledNanos = nowNanos;
  }

  /** Takes up to a number of whole tokens and returns how many were there. */
  int take(long nowNanos, double ratePerSecond, double burst, int wanted) {
    double added = (nowNanos - refilledNanos) * ratePerSecond / NANOS_PER_SECOND;
    tokens = Math.min(burst, tokens + added);
    refilledNanos = nowNanos;
    int taken = (int) Math.min(wanted, Math.floor(tokens));
    tokens -= taken;
    return taken;
  }

  /** Returns the time until one token is there. */
  long millisUntilToken(double ratePerSecond) {
    double missing = Math.max(0, 1 - tokens);
    return ratePerSecond > 0 ? (long) Math.ceil(missing * 1_000 / ratePerSecond) : 0;
  }
}
