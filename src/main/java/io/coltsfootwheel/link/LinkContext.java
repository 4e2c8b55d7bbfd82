package io.coltsfootwheel.link;

/** Services of the transport that its outbound connections use. */
interface LinkContext {
  LinkSettings settings();

  LinkListener listener();

  LinkFailureLog failureLog();

  LinkTraffic traffic();

  /** Returns the memory of the frames that wait on all connections. */
  SendMemory sendMemory();

  /** Starts an attempt, which is told how it ends. */
  void connect(ConnectionAttempt attempt);

  void schedule(Runnable task, long delayMillis);

  /** Returns the delay before the next attempt, with jitter. */
  long backoffMillis(int failedAttempts);
}
