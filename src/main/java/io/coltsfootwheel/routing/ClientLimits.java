package io.coltsfootwheel.routing;

/**
 * Bounds on what a client may send and on how long its connection may stay idle.
 *
 * @param maxHeaderBytes largest request header
 * @param maxBodyBytes largest request body
 * @param headerTimeoutMillis longest time to send a header
 * @param idleTimeoutMillis time without a request after which a connection is closed
 */
public record ClientLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Limits in force until the configuration states others. */
  public static final ClientLimits DEFAULT =
      new ClientLimits(16 * 1024, 8L * 1024 * 1024, 5_000, 60_000);
}
