package io.coltsfootwheel.routing;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** How a target of a keyed service learns which keys it holds. */
public enum GrantMethod {
  /**
   * The answer to each heartbeat report lists all keys of the target. The lease starts when the
   * report was sent, which is before the leader decides.
   */
  HEARTBEAT {
    @Override
    public long maxLeaseStartDelayMillis() {
      return 0;
    }

    @Override
    public long typicalMoveMillis(long reportIntervalMillis) {
      // The owner releases the range at once, and the next report of the receiver is half an
      // interval away on average.
      return reportIntervalMillis / 2;
    }
  },
  /**
   * The leader calls the target to grant or to take back one range of keys. The lease starts when
   * the call arrives, which is after the leader decides.
   */
  CALL {
    @Override
    public long maxLeaseStartDelayMillis() {
      return MAX_CONFIRMATION_MILLIS + MAX_CALL_MILLIS;
    }

    @Override
    public long typicalMoveMillis(long reportIntervalMillis) {
      return RELEASE_AND_GRANT_MILLIS;
    }
  };

  /** Longest time from the start of a quorum round to the calls that it permits. */
  public static final long MAX_CONFIRMATION_MILLIS = 300;

  /** Time limit of a call that grants keys. */
  public static final long MAX_CALL_MILLIS = 500;

  /** The owner completes its running requests before it answers the call that takes keys back. */
  private static final long RELEASE_AND_GRANT_MILLIS = 250;

  /**
   * Returns how long after a decision of the leader the granted lease may start.
   *
   * @return the time in milliseconds; 0 when the lease starts before the decision
   */
  public abstract long maxLeaseStartDelayMillis();

  /**
   * Returns how long a range of keys typically has no holder while it moves.
   *
   * @param reportIntervalMillis usual time between two reports of a target
   * @return the time in milliseconds
   */
  public abstract long typicalMoveMillis(long reportIntervalMillis);

  /**
   * Finds a method by its name.
   *
   * @param name the name in lower case
   * @return the method, or empty when no method has this name
   */
  public static Optional<GrantMethod> find(String name) {
    return Arrays.stream(values())
        .filter(m -> m.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst();
  }
}
