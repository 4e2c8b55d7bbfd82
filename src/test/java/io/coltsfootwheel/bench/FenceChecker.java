package io.coltsfootwheel.bench;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Checks grants and fences as docs/design.md section 13 requires of a target. */
public final class FenceChecker {
  /** Response to an accepted grant, with the executions in progress and the clock of the target. */
  public record GrantResponse(long fence, int running, int runningOlder, long clockMillis) {}

  /** Bounds the validity of a grant that was computed from the clock of an earlier process. */
  private static final long MAX_VALIDITY_MILLIS = 1_000;

  private final LongSupplier nanoClock;
  private final Map<Long, Integer> executionsByFence = new HashMap<>();
  private long fence;
  private long validUntilMillis;

  public FenceChecker(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  /** Accepts a grant, or returns false when its fence is below the highest accepted fence. */
  public synchronized boolean grant(long newFence, long newValidUntilMillis) {
    if (newFence < fence) {
      return false;
    }
    fence = newFence;
    validUntilMillis = Math.min(newValidUntilMillis, clockMillis() + MAX_VALIDITY_MILLIS);
    return true;
  }

  public synchronized GrantResponse response() {
    int total = executionsByFence.values().stream().mapToInt(Integer::intValue).sum();
    return new GrantResponse(
        fence, total, total - executionsByFence.getOrDefault(fence, 0), clockMillis());
  }

  /** Counts a new execution, or returns false for an outdated fence or an expired grant. */
  public synchronized boolean begin(long requestFence, boolean checksFence) {
    boolean valid = requestFence == fence && clockMillis() < validUntilMillis;
    if (checksFence && !valid) {
      return false;
    }
    executionsByFence.merge(requestFence, 1, Integer::sum);
    return true;
  }

  private long clockMillis() {
    return nanoClock.getAsLong() / 1_000_000;
  }

  public synchronized void end(long requestFence) {
    executionsByFence.merge(
        requestFence, -1, (count, decrement) -> count + decrement == 0 ? null : count + decrement);
  }
}
