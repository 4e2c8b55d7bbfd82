package io.coltsfootwheel.loadcontrol;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Grants permits to send requests to targets that sustain a limited rate, such as cold ones.
 *
 * <p>Designed for a hundred entries that each have a request for the same target now and then, and
 * for bursts at all of them at once. All permits of a target come from one token bucket; whoever
 * asks when a token is there receives it. The stated wait follows from what all entries ask for, so
 * that an entry can refuse at once what has little prospect.
 *
 * <p>Usage: {@code issuer.setLimits(now, limits, Set.of()); issuer.request(now, target, entry, 2)}.
 */
public final class PermitIssuer {
  /**
   * Time for which the missing permits of an entry count as demand: entries ask every 100 ms, and
   * one that has not asked again needs none.
   */
  private static final long DEMAND_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Bounds the stated wait; no request waits longer. */
  private static final int MAX_WAIT_MILLIS = 60_000;

  private final Map<TargetId, Bucket> buckets = new HashMap<>();

  private static final class Bucket {
    private final TokenBucket tokens;

    /** Last demand of each entry, the oldest first. */
    private final Map<InstanceId, Demand> demands = new LinkedHashMap<>();

    /**
     * Sum over {@link #demands}; kept, so that a request costs the same for any number of entries.
     */
    private long missingPermits;

    private PermitLimit limit;

    Bucket(long nowNanos, double initialTokens) {
      this.tokens = new TokenBucket(nowNanos, initialTokens);
    }

    private void recordDemand(long nowNanos, InstanceId entry, int missing) {
      Demand before = demands.remove(entry);
      missingPermits += missing - (before == null ? 0 : before.missing());
      demands.put(entry, new Demand(missing, nowNanos));
      removeExpired(nowNanos);
    }

    private void removeExpired(long nowNanos) {
      Iterator<Demand> oldestFirst = demands.values().iterator();
      while (oldestFirst.hasNext()) {
        Demand oldest = oldestFirst.next();
        if (nowNanos - oldest.askedNanos() <= DEMAND_NANOS) {
          break;
        }
        missingPermits -= oldest.missing();
        oldestFirst.remove();
      }
    }
  }

  private record Demand(int missing, long askedNanos) {}

  /**
   * Sets the targets for which permits are granted. The bucket of a target that is new among them
   * starts empty, because the target may have received requests without a permit of this issuer,
   * unless it cannot have received any.
   *
   * @param nowNanos monotonic time
   * @param limits limit of each target
   * @param unused targets that cannot have received a request yet
   */
  public void setLimits(long nowNanos, Map<TargetId, PermitLimit> limits, Set<TargetId> unused) {
    buckets.keySet().retainAll(limits.keySet());
    limits.forEach(
        (target, limit) -> {
          double initialTokens = unused.contains(target) ? limit.burst() : 0;
          buckets.computeIfAbsent(target, t -> new Bucket(nowNanos, initialTokens)).limit = limit;
        });
  }

  /**
   * Grants permits to an entry.
   *
   * @param nowNanos monotonic time
   * @param target the target
   * @param entry the entry
   * @param wanted permits that the entry asks for, including those that it asked for before and has
   *     not received
   * @return the grant; without permits and wait when the target has no limit
   */
  public PermitGrant request(long nowNanos, TargetId target, InstanceId entry, int wanted) {
    Bucket bucket = buckets.get(target);
    if (bucket == null || wanted <= 0) {
      return new PermitGrant(0, 0);
    }
    double rate = bucket.limit.ratePerSecond();
    int granted = bucket.tokens.take(nowNanos, rate, bucket.limit.burst(), wanted);
    bucket.recordDemand(nowNanos, entry, wanted - granted);
    return new PermitGrant(granted, granted == wanted ? 0 : waitMillis(bucket, rate));
  }

  /** Returns the time until the tokens that all entries miss have been added. */
  private static int waitMillis(Bucket bucket, double rate) {
    if (rate <= 0) {
      return MAX_WAIT_MILLIS;
    }
    double waitMillis = bucket.missingPermits * TimeUnit.SECONDS.toMillis(1) / rate;
    return (int) Math.min(MAX_WAIT_MILLIS, waitMillis);
  }
}
