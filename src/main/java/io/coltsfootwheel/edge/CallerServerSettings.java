package io.coltsfootwheel.edge;

/**
 * Address and limits of the server for callers.
 *
 * @param host IP number to listen on
 * @param port port to listen on, 0 for any free port
 * @param maxBodyBytes largest request body (413 beyond)
 * @param maxHeaderBytes largest total size of request headers (431 beyond)
 * @param maxUriBytes longest request line (414 beyond)
 * @param maxRequests requests at the same time (503 beyond)
 * @param idleMillis time after which a connection without a request is closed
 * @param defaultDeadlineMillis deadline of a request that names none
 * @param maxDeadlineMillis latest deadline that a request may name (400 beyond)
 */
public record CallerServerSettings(
    String host,
    int port,
    int maxBodyBytes,
    int maxHeaderBytes,
    int maxUriBytes,
    int maxRequests,
    long idleMillis,
    long defaultDeadlineMillis,
    long maxDeadlineMillis) {
  private static final int DEFAULT_BODY_BYTES = 1024 * 1024;
  private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_URI_BYTES = 8 * 1024;
  private static final int DEFAULT_REQUESTS = 4096;
  private static final long DEFAULT_IDLE_MILLIS = 75_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
  private static final long DEFAULT_MAX_DEADLINE_MILLIS = 60_000;

  /**
   * Returns settings with the default limits.
   *
   * @param host IP number to listen on
   * @param port port to listen on, 0 for any free port
   * @return the settings
   */
  public static CallerServerSettings of(String host, int port) {
    return new CallerServerSettings(
        host,
        port,
        DEFAULT_BODY_BYTES,
        DEFAULT_HEADER_BYTES,
        DEFAULT_URI_BYTES,
        DEFAULT_REQUESTS,
        DEFAULT_IDLE_MILLIS,
        DEFAULT_DEADLINE_MILLIS,
        DEFAULT_MAX_DEADLINE_MILLIS);
  }
}
