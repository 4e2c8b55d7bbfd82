package io.coltsfootwheel.model;

/** Rule for moving hash slots of a service between targets to balance their load. */
public enum MovePolicy {
  /** Moves slots at a low imbalance, because an overloaded target makes its slots unavailable. */
  AVAILABILITY(1.25, 60),
  /** Moves few slots and only at a high imbalance, because each move risks a stale read. */
  CHURN(1.60, 12);

  private final double imbalanceThreshold;
  private final int movesPerMinute;

  MovePolicy(double imbalanceThreshold, int movesPerMinute) {
    this.imbalanceThreshold = imbalanceThreshold;
    this.movesPerMinute = movesPerMinute;
  }

  /**
   * Returns the ratio of the highest to the mean target load above which moves for load start.
   *
   * @return the ratio, above 1
   */
  public double imbalanceThreshold() {
    return imbalanceThreshold;
  }

  /**
   * Returns the largest rate of moves for load balancing.
   *
   * @return hash slots per minute
   */
  public int movesPerMinute() {
    return movesPerMinute;
  }
}
