package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.loadcontrol.TokenBucket;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Grants shares of the allowances of the customers that this instance coordinates. */
final class AllowanceCoordinator {
  /**
   * Time after which a permit lease is removed here. It exceeds the time for which the entry uses
   * the permits by more than clock drift, so a permit is never granted twice at the same time.
   */
  private static final long PERMIT_LEASE_NANOS =
      TimeUnit.MILLISECONDS.toNanos(AdmissionLimiter.PERMIT_TTL_MILLIS * 11 / 10);

  private record Lease(int permits, long untilNanos) {}

  private static final class Account {
    private final TokenBucket bucket;
    private final Map<InstanceId, Lease> leases = new HashMap<>();
    private long lastUsedNanos;

    private Account(TokenBucket bucket) {
      this.bucket = bucket;
    }
  }

  private final Map<CustomerId, Account> accounts = new HashMap<>();

  EntryEffect.GrantTokens grant(EntryEvent.TokensRequested request, Allowance allowance) {
    long nowNanos = request.nowNanos();
    // A new coordinator starts without burst, because the previous one may have granted it already.
    Account account =
        accounts.computeIfAbsent(
            request.customer(), id -> new Account(new TokenBucket(nowNanos, 0)));
    account.lastUsedNanos = nowNanos;
    int tokens =
        account.bucket.take(
            nowNanos,
            allowance.ratePerSecond(),
            Math.max(1, allowance.burst()),
            Math.max(0, request.tokens()));
    account.leases.remove(request.entry());
    account.leases.values().removeIf(lease -> nowNanos - lease.untilNanos() >= 0);
    int leased = account.leases.values().stream().mapToInt(Lease::permits).sum();
    int permits = Math.max(0, Math.min(request.permits(), allowance.concurrency() - leased));
    account.leases.put(request.entry(), new Lease(permits, nowNanos + PERMIT_LEASE_NANOS));
    return new EntryEffect.GrantTokens(request.entry(), request.customer(), tokens, permits);
  }

  /** Removes customers for which no entry has requested shares within the time-out. */
  void expire(long nowNanos, long idleNanos) {
    accounts.values().removeIf(account -> nowNanos - account.lastUsedNanos >= idleNanos);
  }
}
