package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Grants shares of the allowances of those customers whose home this instance is. */
final class AllowanceHome {
  /** Entries stop to use permits earlier than the home forgets them, by more than clock drift. */
  private static final long PERMIT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(AdmissionLimiter.PERMIT_MILLIS * 11 / 10);

  private record Lease(int permits, long untilNanos) {}

  private static final class Account {
    private final TokenBucket bucket;
    private final Map<InstanceId, Lease> leases = new HashMap<>();
    private long usedNanos;

    private Account(TokenBucket bucket) {
      this.bucket = bucket;
    }
  }

  private final Map<CustomerId, Account> accounts = new HashMap<>();

  EntryEffect.GrantTokens grant(EntryEvent.TokensRequested wanted, Allowance allowance) {
    long nowNanos = wanted.nowNanos();
    // A new home starts without burst, because the previous one may have granted it already.
    Account account =
        accounts.computeIfAbsent(wanted.customer(), c -> new Account(new TokenBucket(nowNanos, 0)));
    account.usedNanos = nowNanos;
    int tokens =
        account.bucket.take(
            nowNanos,
            allowance.ratePerSecond(),
            Math.max(1, allowance.burst()),
            Math.max(0, wanted.tokens()));
    account.leases.remove(wanted.entry());
    account.leases.values().removeIf(l -> nowNanos - l.untilNanos() >= 0);
    int leased = account.leases.values().stream().mapToInt(Lease::permits).sum();
    int permits = Math.max(0, Math.min(wanted.permits(), allowance.concurrency() - leased));
    account.leases.put(wanted.entry(), new Lease(permits, nowNanos + PERMIT_NANOS));
    return new EntryEffect.GrantTokens(wanted.entry(), wanted.customer(), tokens, permits);
  }

  /** Forgets customers that nobody has asked for during a time. */
  void expire(long nowNanos, long idleNanos) {
    accounts.values().removeIf(a -> nowNanos - a.usedNanos >= idleNanos);
  }
}
