package io.coltsfootwheel.model;

/** How eagerly hash slots of a service move for balance. */
public enum MovePolicy {
  /** Moves early: overload costs unavailable time. */
  AVAILABILITY(1.25, 60),
  /** Moves late and little: each move risks a stale read. */
  CHURN(1.60, 12);

  private final double startImbalance;
  private final int movesPerMinute;

  MovePolicy(double startImbalance, int movesPerMinute) {
    this.startImbalance = startImbalance;
    this.movesPerMinute = movesPerMinute;
  }

  /**
   * Returns the ratio of the highest to the mean load at which moves for load start.
   *
   * @return the ratio, above 1
   */
  public double startImbalance() {
    return startImbalance;
  }

  /**
   * Returns the budget of moves for load.
   *
   * @return hash slots per minute
   */
  public int movesPerMinute() {
    return movesPerMinute;
  }
}
