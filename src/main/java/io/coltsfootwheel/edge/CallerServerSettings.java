package io.coltsfootwheel.edge;

/**
 * Address and limits of the caller server.
 *
 * @param host IP address to listen on
 * @param port port to listen on, 0 for any free port
 * @param maxBodyBytes maximum size of a request body (413 beyond)
 * @param maxHeaderBytes maximum total size of the request headers (431 beyond)
 * @param maxUriBytes maximum length of a request URI (414 beyond)
 * @param maxRequests maximum number of requests in flight (503 beyond)
 * @param idleTimeoutMillis time after which an idle connection is closed
 * @param defaultDeadlineMillis deadline of a request that sets none
 * @param maxDeadlineMillis maximum deadline that a request may set (400 beyond)
 */
public record CallerServerSettings(
    String host,
    int port,
    int maxBodyBytes,
    int maxHeaderBytes,
    int maxUriBytes,
    int maxRequests,
    long idleTimeoutMillis,
    long defaultDeadlineMillis,
    long maxDeadlineMillis) {
  private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
  private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_URI_BYTES = 8 * 1024;
  private static final int DEFAULT_MAX_REQUESTS = 4096;
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 75_000;
  private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
  private static final long DEFAULT_MAX_DEADLINE_MILLIS = 60_000;

  /**
   * Returns settings with the default limits.
   *
   * @param host IP address to listen on
   * @param port port to listen on, 0 for any free port
   * @return the settings
   */
  public static CallerServerSettings of(String host, int port) {
    return new CallerServerSettings(
        host,
        port,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_MAX_HEADER_BYTES,
        DEFAULT_MAX_URI_BYTES,
        DEFAULT_MAX_REQUESTS,
        DEFAULT_IDLE_TIMEOUT_MILLIS,
        DEFAULT_DEADLINE_MILLIS,
        DEFAULT_MAX_DEADLINE_MILLIS);
  }
}
