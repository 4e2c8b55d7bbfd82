package io.coltsfootwheel.relay;

/**
 * Share of a target's connections that one entry may open.
 *
 * <p>Load: many entries send to one target whose queue is long. The target then accepts fewer
 * connections than its limit and resets the others, and a request on a connection that is reset has
 * an unknown outcome. A request for which no connection may be opened was certainly not run.
 */
final class ConnectionShare {
  /** Share of the limit that a target with a long queue is expected to accept. */
  private static final double LOADED_SHARE = 0.5;

  private static final int MIN_CONNECTIONS = 2;

  private ConnectionShare() {}

  /**
   * Returns the number of connections that this entry may have open to one target.
   *
   * @param maxConnections connections that the target accepts from all entries together
   * @param entryCount number of entries
   */
  static int of(int maxConnections, int entryCount) {
    return Math.max(MIN_CONNECTIONS, (int) (LOADED_SHARE * maxConnections / entryCount));
  }
}
