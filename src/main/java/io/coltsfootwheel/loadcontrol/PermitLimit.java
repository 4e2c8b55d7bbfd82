package io.coltsfootwheel.loadcontrol;

/**
 * Rate and burst at which permits for one target are granted.
 *
 * @param ratePerSecond permits per second
 * @param burst largest number of permits granted at once; 0 when none may be granted
 */
public record PermitLimit(double ratePerSecond, double burst) {
  /** Time after its grant for which a permit is valid. */
  public static final long VALID_MILLIS = 300;

  /** Longest time from the writing of a request to its arrival at the target. */
  public static final long MAX_TRANSIT_MILLIS = 500;

  /**
   * Requests that arrive within one second may have been granted within this time: one second, the
   * validity of a permit and the transit.
   */
  private static final double GRANT_WINDOW_SECONDS =
      1 + (VALID_MILLIS + MAX_TRANSIT_MILLIS) / 1_000.0;

  /**
   * Part of the slack used as burst. The rest is left for requests that were under way when the
   * target became cold.
   */
  private static final double BURST_SLACK_RATIO = 0.5;

  /**
   * Returns the limit with which a target receives at most {@code ratePerSecond * overshoot +
   * slack} requests in any second.
   *
   * @param ratePerSecond requests per second that the target sustains
   * @param overshoot permitted ratio to that rate within one second
   * @param slack requests permitted in addition within one second
   * @return the limit
   */
  public static PermitLimit of(double ratePerSecond, double overshoot, double slack) {
    double maxPerSecond = ratePerSecond * overshoot + slack;
    if (maxPerSecond < 1) {
      return new PermitLimit(0, 0);
    }
    double room = maxPerSecond - ratePerSecond * GRANT_WINDOW_SECONDS;
    double burst = Math.max(1, Math.min(room, BURST_SLACK_RATIO * slack));
    double highestRate = (maxPerSecond - burst) / GRANT_WINDOW_SECONDS;
    return new PermitLimit(Math.min(ratePerSecond, highestRate), burst);
  }
}
