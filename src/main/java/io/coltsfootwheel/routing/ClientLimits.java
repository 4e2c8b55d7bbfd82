package io.coltsfootwheel.routing;

/**
 * Limits on the requests of a client and on the idle time of its connections.
 *
 * @param maxHeaderBytes maximum size of a request header
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time to send a request header
 * @param idleTimeoutMillis time without a request after which a connection is closed
 */
public record ClientLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits that apply when the configuration contains none. */
  public static final ClientLimits DEFAULT =
      new ClientLimits(16 * 1024, 8L * 1024 * 1024, 5_000, 60_000);
}
