package io.coltsfootwheel.link;

/** Services of the transport that its outbound connections use. */
interface LinkContext {
  LinkSettings settings();

  LinkListener listener();

  LinkFailureLog failureLog();

  LinkTraffic traffic();

  /**
   * Starts to connect. A failed attempt is reported to {@link OutboundConnection#onClosed}.
   *
   * @param outbound the connection
   * @param failedAttempts attempts that have failed since it was connected last
   */
  void connect(OutboundConnection outbound, int failedAttempts);

  void schedule(Runnable task, long delayMillis);

  /** Returns the delay before the next attempt, with jitter. */
  long backoffMillis(int failedAttempts);
}
