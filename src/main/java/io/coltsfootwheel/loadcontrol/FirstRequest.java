package io.coltsfootwheel.loadcontrol;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an entry sends its first request to a target that joined.
 *
 * <p>Each entry waits for a different time, so that the fleet sends a few first requests per
 * second, whatever the number of its entries.
 */
public final class FirstRequest {
  /**
   * Mean time between the first requests of two entries. A target that has just started is slow and
   * may have few slots, so it receives about seven requests per second from the whole fleet.
   */
  private static final long NANOS_PER_ENTRY = TimeUnit.MILLISECONDS.toNanos(150);

  private FirstRequest() {}

  /**
   * Returns whether the first request is due.
   *
   * @param nowNanos monotonic time
   * @param joinedNanos time at which the target joined
   * @param entryCount number of entries
   * @param entryShare number of this entry for this target, uniformly distributed in [0, 1)
   * @return true when the entry should send its next request to the target
   */
  public static boolean isDue(long nowNanos, long joinedNanos, int entryCount, double entryShare) {
    return nowNanos - joinedNanos >= entryShare * entryCount * NANOS_PER_ENTRY;
  }
}
