package io.coltsfootwheel.bench;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Checks grants and fences as docs/design.md section 13 states for targets. */
public final class FenceGate {
  /** Response to an accepted grant. */
  public record GrantAnswer(long fence, int running, int runningOlder, long clockMillis) {}

  /** A grant made from another process's clock must not be valid for long. */
  private static final long MAX_AHEAD_MILLIS = 1_000;

  private final LongSupplier nanoClock;
  private final Map<Long, Integer> running = new HashMap<>();
  private long fence;
  private long validUntilMillis;

  public FenceGate(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  /** Accepts a grant; returns false for a fence below the highest seen. */
  public synchronized boolean grant(long newFence, long untilMillis) {
    if (newFence < fence) {
      return false;
    }
    fence = newFence;
    validUntilMillis = Math.min(untilMillis, clockMillis() + MAX_AHEAD_MILLIS);
    return true;
  }

  public synchronized GrantAnswer answer() {
    int all = running.values().stream().mapToInt(Integer::intValue).sum();
    return new GrantAnswer(fence, all, all - running.getOrDefault(fence, 0), clockMillis());
  }

  /** Begins an execution; returns false for an outdated fence or an expired grant. */
  public synchronized boolean begin(long requestFence, boolean check) {
    boolean valid = requestFence == fence && clockMillis() < validUntilMillis;
    if (check && !valid) {
      return false;
    }
    running.merge(requestFence, 1, Integer::sum);
    return true;
  }

  private long clockMillis() {
    return nanoClock.getAsLong() / 1_000_000;
  }

  public synchronized void end(long requestFence) {
    running.merge(requestFence, -1, (count, one) -> count + one == 0 ? null : count + one);
  }
}
