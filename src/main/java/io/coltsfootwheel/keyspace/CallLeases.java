package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.keyspace.TargetCallResult.Outcome;
import io.coltsfootwheel.model.Fence;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Leases that one leader has granted to one incarnation of a target by calls.
 *
 * <p>A lease runs from the arrival of its call, so the leader knows only a bound for its end: the
 * end of the call, or its time limit while it is in progress, plus the duration of a lease. A call
 * without an answer may still be carried out after later calls, so a release of its keys proves
 * nothing until its lease has ended.
 */
final class CallLeases {
  /** Failed grants in a row after which the target is taken as unable to receive keys. */
  private static final int MAX_FAILURES = 3;

  /** Time after the last of them in which it gets no grants and loses its keys. */
  private static final long FAILING_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final long leaseNanos;
  private final Map<KeyRange, RangeLease> leases = new HashMap<>();
  private final Map<Long, TargetCall> openCalls = new HashMap<>();
  private int consecutiveFailures;
  private long lastFailureNanos;

  /** Lease on one range. A time that has passed means that there is none of its kind. */
  private static final class RangeLease {
    private final KeyRange range;
    private Fence fence;
    private long sentNanos;

    /** Bound for the end of the leases of all calls that have ended. */
    private long endNanos;

    /** Time until which the target holds the keys, according to its answers. */
    private long heldUntilNanos;

    /** Bound for the end of the leases of calls that had no answer. */
    private long uncertainUntilNanos;

    private RangeLease(KeyRange range, Fence fence, long nowNanos) {
      this.range = range;
      this.fence = fence;
      this.sentNanos = nowNanos;
      this.endNanos = nowNanos;
      this.heldUntilNanos = nowNanos;
      this.uncertainUntilNanos = nowNanos;
    }

    private RangeLease within(KeyRange part) {
      RangeLease copy = new RangeLease(part, fence, sentNanos);
      copy.endNanos = endNanos;
      copy.heldUntilNanos = heldUntilNanos;
      copy.uncertainUntilNanos = uncertainUntilNanos;
      return copy;
    }
  }

  /**
   * Creates an empty record.
   *
   * @param leaseNanos longest duration of a lease after the arrival of its call
   */
  CallLeases(long leaseNanos) {
    this.leaseNanos = leaseNanos;
  }

  /** Records a call that is about to be sent. */
  void recordSent(long nowNanos, TargetCall call) {
    openCalls.put(call.id(), call);
    if (call instanceof TargetCall.Release) {
      endHolding(nowNanos, call.range());
      return;
    }
    RangeLease lease =
        leases.computeIfAbsent(call.range(), r -> new RangeLease(r, call.fence(), nowNanos));
    lease.fence = call.fence();
    lease.sentNanos = nowNanos;
  }

  /**
   * Records the end of a call.
   *
   * @return true if the target holds the range from now on and did not before
   */
  boolean recordEnd(long nowNanos, TargetCall call, Outcome outcome) {
    // A call to an earlier incarnation of the target says nothing about this one.
    boolean isOwnCall = openCalls.remove(call.id(), call);
    return isOwnCall
        && call instanceof TargetCall.Grant grant
        && recordGrantEnd(nowNanos, grant, outcome);
  }

  private boolean recordGrantEnd(long nowNanos, TargetCall.Grant grant, Outcome outcome) {
    if (outcome.isAnswered()) {
      consecutiveFailures = 0;
    } else {
      consecutiveFailures++;
      lastFailureNanos = nowNanos;
    }
    boolean heldBefore = isHeld(nowNanos, grant.range());
    RangeLease lease =
        leases.computeIfAbsent(grant.range(), r -> new RangeLease(r, grant.fence(), nowNanos));
    if (outcome.mayHaveArrived()) {
      lease.endNanos = nowNanos + leaseNanos;
    }
    if (outcome == Outcome.UNKNOWN) {
      lease.uncertainUntilNanos = nowNanos + leaseNanos;
    }
    if (outcome == Outcome.DONE) {
      lease.heldUntilNanos = lease.sentNanos + TimeUnit.MILLISECONDS.toNanos(grant.holdMillis());
    }
    leases.values().removeIf(l -> nowNanos - l.endNanos > leaseNanos);
    return !heldBefore && isHeld(nowNanos, grant.range());
  }

  /** Ends the holding of a range that is taken back; the rest of a lease stays as it is. */
  private void endHolding(long nowNanos, KeyRange range) {
    for (RangeLease lease : overlapping(range).toList()) {
      if (lease.range.from() < range.from()) {
        KeyRange before = new KeyRange(lease.range.from(), range.from() - 1);
        leases.putIfAbsent(before, lease.within(before));
      }
      if (lease.range.to() > range.to()) {
        KeyRange after = new KeyRange(range.to() + 1, lease.range.to());
        leases.putIfAbsent(after, lease.within(after));
      }
      lease.heldUntilNanos = nowNanos;
    }
  }

  /** Returns whether the target holds all keys of a range, according to its answers. */
  boolean isHeld(long nowNanos, KeyRange range) {
    List<KeyRange> held =
        overlapping(range)
            .filter(l -> nowNanos - l.heldUntilNanos < 0)
            .map(l -> l.range)
            .sorted(Comparator.naturalOrder())
            .toList();
    int next = range.from();
    for (KeyRange part : held) {
      if (part.from() <= next) {
        next = Math.max(next, part.to() + 1);
      }
    }
    return next > range.to();
  }

  /** Returns whether a call that granted a key of the range was ever sent. */
  boolean wasSent(KeyRange range) {
    return overlapping(range).findAny().isPresent();
  }

  /** Returns whether a call for a key of the range is in progress. */
  boolean isCallOpen(KeyRange range) {
    return openCalls.values().stream().anyMatch(c -> c.range().overlaps(range));
  }

  /** Returns the number of grants in progress. */
  long openGrants() {
    return openCalls.values().stream().filter(TargetCall.Grant.class::isInstance).count();
  }

  /** Returns the time of the last grant of exactly this range under this fence. */
  Optional<Long> lastSentNanos(KeyRange range, Fence fence) {
    return Optional.ofNullable(leases.get(range))
        .filter(l -> l.fence.equals(fence))
        .map(l -> l.sentNanos);
  }

  /**
   * Returns whether a grant of a key of the range may still be carried out after later calls,
   * because it had no answer or has none yet.
   */
  boolean isUncertain(long nowNanos, KeyRange range) {
    return openGrantEnds(range).findAny().isPresent()
        || overlapping(range).anyMatch(l -> nowNanos - l.uncertainUntilNanos < 0);
  }

  /** Returns whether all leases on keys of a range have ended. */
  boolean isEnded(long nowNanos, KeyRange range) {
    return ends(range).allMatch(end -> nowNanos - end > 0);
  }

  /** Returns a bound for the end of all leases on keys of a range, at least a given time. */
  long endNanos(KeyRange range, long atLeastNanos) {
    return ends(range).reduce(atLeastNanos, (a, b) -> a - b > 0 ? a : b);
  }

  /** Returns whether the last grants failed, so that the target should not be given keys. */
  boolean isFailing(long nowNanos) {
    return consecutiveFailures >= MAX_FAILURES && hasFailedWithin(nowNanos, FAILING_NANOS);
  }

  /** Returns whether the target was granted a range and has answered the last such call. */
  boolean hasAnsweredLastGrant() {
    return !leases.isEmpty() && consecutiveFailures == 0;
  }

  /** Returns whether the last grant failed less than a given time ago. */
  boolean hasFailedWithin(long nowNanos, long durationNanos) {
    return consecutiveFailures > 0 && nowNanos - lastFailureNanos < durationNanos;
  }

  private Stream<RangeLease> overlapping(KeyRange range) {
    return new ArrayList<>(leases.values()).stream().filter(l -> l.range.overlaps(range));
  }

  private LongStream ends(KeyRange range) {
    return LongStream.concat(overlapping(range).mapToLong(l -> l.endNanos), openGrantEnds(range));
  }

  private LongStream openGrantEnds(KeyRange range) {
    return openCalls.values().stream()
        .filter(TargetCall.Grant.class::isInstance)
        .filter(c -> c.range().overlaps(range))
        .mapToLong(c -> c.endNanos() + leaseNanos);
  }
}
