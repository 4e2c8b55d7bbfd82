package io.coltsfootwheel.link;

/** What a connection to a peer needs from its transport. */
interface LinkContext {
  LinkSettings settings();

  LinkListener listener();

  FailureLog log();

  LinkTraffic traffic();

  /** Starts an attempt; its end is reported to {@link Outbound#closed}. */
  void connect(Outbound outbound);

  void schedule(Runnable task, long delayMillis);

  /** Returns the pause after a number of failed attempts, with jitter. */
  long backoffMillis(int failedAttempts);
}
