package io.coltsfootwheel.listener;

/** Listeners of a process, and the share of its sockets that the clients of each may use. */
public enum ListenerKind {
  /** Clients whose requests an entry forwards. */
  CLIENTS(0.5),

  /** Calls of targets and operators. */
  CALLS(0.4),

  /** Probes of readiness, route previews and metrics. */
  PROBES(0.0625),

  /** Links of other processes. */
  LINKS(0.2);

  private final double socketShare;

  ListenerKind(double socketShare) {
    this.socketShare = socketShare;
  }

  /**
   * Returns the connections that a listener may have open at once.
   *
   * @param limits limits of the process
   * @return the number, at least one
   */
  public int maxConnections(ProcessLimits limits) {
    return Math.max(1, (int) (socketShare * limits.sockets()));
  }
}
