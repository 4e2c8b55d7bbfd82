package io.coltsfootwheel.relay;

import io.coltsfootwheel.loadcontrol.PermitGrant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Permits of this entry to send requests to one cold target; confined to the event loop. */
final class TargetPermits {
  /** Time for which a stated wait is used: two missed answers, which follow every 100 ms. */
  private static final long WAIT_STATEMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Remaining validity below which a permit is about to expire: one interval between reports. */
  private static final long EXPIRING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Ends of the validity of the permits, in the order of their grants. */
  private final Deque<Long> endNanos = new ArrayDeque<>();

  private int waitingRequests;
  private long statedWaitMillis;
  private long statedNanos;

  /** Adds the permits of a grant, which are valid until a time, and notes the stated wait. */
  void record(long nowNanos, PermitGrant grant, long newEndNanos) {
    for (int i = 0; i < grant.permits(); i++) {
      endNanos.add(newEndNanos);
    }
    statedWaitMillis = grant.waitMillis();
    statedNanos = nowNanos;
  }

  /** Returns the number of valid permits. */
  int available(long nowNanos) {
    endNanos.removeIf(end -> nowNanos - end >= 0);
    return endNanos.size();
  }

  /** Takes the permit that expires first; returns the end of its validity, or empty. */
  OptionalLong take(long nowNanos) {
    return available(nowNanos) > 0 ? OptionalLong.of(endNanos.poll()) : OptionalLong.empty();
  }

  /** Returns whether a permit expires before the next ones can arrive. */
  boolean isExpiring(long nowNanos) {
    return available(nowNanos) > 0 && endNanos.peek() - nowNanos < EXPIRING_NANOS;
  }

  /** Returns the rest of the wait that the leader stated last, 0 when that is too long ago. */
  long waitMillis(long nowNanos) {
    long ageNanos = nowNanos - statedNanos;
    return ageNanos < WAIT_STATEMENT_NANOS
        ? Math.max(0, statedWaitMillis - TimeUnit.NANOSECONDS.toMillis(ageNanos))
        : 0;
  }

  void startWaiting() {
    waitingRequests++;
  }

  void stopWaiting() {
    waitingRequests--;
  }

  /** Returns the requests that wait for a permit. */
  int waitingRequests() {
    return waitingRequests;
  }
}
