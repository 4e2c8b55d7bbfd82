package io.coltsfootwheel.routing;

import java.util.concurrent.TimeUnit;

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

  /** Largest request header that any configuration allows. */
  public static final int MAX_HEADER_BYTES = 256 * 1024;

  private static final int MIN_HEADER_BYTES = 1_024;
  private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

  /** Limits before the first configuration is known: a request that it may allow is not refused. */
  public static final ClientLimits UNCONFIGURED =
      new ClientLimits(
          MAX_HEADER_BYTES,
          MAX_BODY_BYTES,
          DEFAULT.headerTimeoutMillis(),
          DEFAULT.idleTimeoutMillis());

  private static final long MAX_TIMEOUT_MILLIS = TimeUnit.DAYS.toMillis(1);

  /**
   * Returns the limits that a server can apply. A stored configuration may contain numbers that are
   * negative or larger than the memory of a process; they must not end every connection.
   *
   * @return these limits, each moved to the nearest applicable value
   */
  public ClientLimits applicable() {
    return new ClientLimits(
        Math.max(MIN_HEADER_BYTES, Math.min(MAX_HEADER_BYTES, maxHeaderBytes)),
        Math.max(0, Math.min(MAX_BODY_BYTES, maxBodyBytes)),
        Math.max(0, Math.min(MAX_TIMEOUT_MILLIS, headerTimeoutMillis)),
        Math.max(0, Math.min(MAX_TIMEOUT_MILLIS, idleTimeoutMillis)));
  }
}
