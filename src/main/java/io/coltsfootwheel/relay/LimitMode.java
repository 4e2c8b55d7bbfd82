package io.coltsfootwheel.relay;

/** What entries do with the concurrency limits that the leader determines for targets. */
public enum LimitMode {
  /**
   * The limits are logged and counted; each target keeps its initial limit, and failures of a full
   * target are handled like others.
   */
  OBSERVE {
    @Override
    int admissionLimit(int determined, int initial) {
      return initial;
    }
  },
  /** Requests are admitted by the limits. */
  ENFORCE {
    @Override
    int admissionLimit(int determined, int initial) {
      return determined;
    }
  };

  /** Returns whether full targets are told from failed ones, and overdue calls are given up. */
  boolean isEnforced() {
    return this == ENFORCE;
  }

  /**
   * Returns the limit by which requests are admitted.
   *
   * @param determined limit that was determined from observations
   * @param initial limit of a target about which nothing is known
   */
  abstract int admissionLimit(int determined, int initial);
}
