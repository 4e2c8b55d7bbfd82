package io.coltsfootwheel.keyspace;

/**
 * Result of a call to a target.
 *
 * @param outcome what is known about the call
 * @param handoverToken token that the target returned for a released range, or an empty string
 */
public record TargetCallResult(Outcome outcome, String handoverToken) {
  /** What is known about a call that has ended. */
  public enum Outcome {
    /** The target has done what the call asked for. */
    DONE {
      @Override
      public boolean isAnswered() {
        return true;
      }

      @Override
      public boolean mayHaveArrived() {
        return true;
      }
    },
    /** The target knows a higher fence for one of the keys and changed nothing. */
    FENCE_TOO_LOW {
      @Override
      public boolean isAnswered() {
        return true;
      }

      @Override
      public boolean mayHaveArrived() {
        return false;
      }
    },
    /** The call was not sent, or another target uses the address. */
    NOT_DELIVERED {
      @Override
      public boolean isAnswered() {
        return false;
      }

      @Override
      public boolean mayHaveArrived() {
        return false;
      }
    },
    /** There was no valid answer; the target may act on the call at once or seconds later. */
    UNKNOWN {
      @Override
      public boolean isAnswered() {
        return false;
      }

      @Override
      public boolean mayHaveArrived() {
        return true;
      }
    };

    /**
     * Returns whether the target has answered the call.
     *
     * @return true for a valid answer of the target itself
     */
    public abstract boolean isAnswered();

    /**
     * Returns whether the target may act on the call.
     *
     * @return false only if the call has no effect now and later
     */
    public abstract boolean mayHaveArrived();
  }

  /**
   * Creates a result without a handover token.
   *
   * @param outcome what is known about the call
   * @return the result
   */
  public static TargetCallResult of(Outcome outcome) {
    return new TargetCallResult(outcome, "");
  }
}
