package io.coltsfootwheel.keyspace;

/**
 * Load of a target, estimated from the observations of all entries.
 *
 * @param inFlight requests sent and not yet answered
 * @param millisPerRequest time for which one request occupies a slot
 * @param concurrencyLimit requests in flight up to which entries send to the target, 0 if unknown;
 *     a leader of an earlier version does not send it
 */
public record TargetLoadEstimate(int inFlight, int millisPerRequest, int concurrencyLimit) {
  /**
   * Creates an estimate without a limit.
   *
   * @param inFlight requests in flight
   * @param millisPerRequest time per request
   */
  public TargetLoadEstimate(int inFlight, int millisPerRequest) {
    this(inFlight, millisPerRequest, 0);
  }
}
