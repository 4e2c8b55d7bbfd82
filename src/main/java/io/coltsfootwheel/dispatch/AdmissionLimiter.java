package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.loadcontrol.TokenBucket;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Limits what each customer may use, as its plan allows.
 *
 * <p>Each customer has a coordinator instance, from which entries lease batches of rate tokens and
 * concurrency permits. While the coordinator does not answer an entry, that entry uses an even
 * share instead: rate, burst and concurrency divided by the number of instances, at least 1 each.
 *
 * <p>Upper bounds on admitted requests with n instances: while the coordinator answers every entry,
 * a customer gets at most the burst plus rate x time, plus one even share of the burst per entry at
 * the customer's first request there. While some entries cannot reach the coordinator, their even
 * shares are added, so at most twice the rate and twice the burst plus n requests are admitted.
 * Concurrency is at most twice the allowance plus n. When another instance becomes the coordinator,
 * permits leased by the previous one remain valid for at most {@value #PERMIT_TTL_MILLIS} ms.
 */
final class AdmissionLimiter {
  /** Time for which an entry may use leased concurrency permits. */
  static final int PERMIT_TTL_MILLIS = 2_000;

  private static final long PERMIT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(PERMIT_TTL_MILLIS);

  /** Minimum time between two grant requests for the same customer. */
  private static final long GRANT_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Time after the first unanswered grant request after which the coordinator counts as
   * unresponsive and the entry uses its even share.
   */
  private static final long COORDINATOR_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Time without requests after which the state of a customer is removed; at an entry, requests in
   * flight postpone the removal.
   */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Time for which one batch of rate tokens lasts at the full rate. */
  private static final double TOKEN_BATCH_SECONDS = 0.1;

  /** Reason for refusing a request; {@code retryAfterMillis} is 0 when unknown. */
  record Refusal(ErrorKind kind, long retryAfterMillis, String detail) {}

  private static final class CustomerShare {
    private final TokenBucket fallbackTokens;
    private int tokens;
    private int permits;
    private int inFlight;

    /** Requests refused for lack of a permit since the last grant request. */
    private int concurrencyRefusals;

    private long lastUsedNanos;
    private long lastGrantRequestNanos;
    private long awaitingGrantSinceNanos;
    private long lastGrantNanos;
    private boolean hasRequestedGrant;
    private boolean awaitingGrant;
    private boolean hasReceivedGrant;

    private CustomerShare(TokenBucket fallbackTokens) {
      this.fallbackTokens = fallbackTokens;
    }
  }

  private final Map<CustomerId, CustomerShare> shares = new HashMap<>();
  private final AllowanceCoordinator coordinator = new AllowanceCoordinator();
  private PolicyLists policyLists = PolicyLists.empty();
  private List<InstanceId> instances = List.of();

  void viewChanged(PolicyLists newPolicyLists, List<InstanceId> newInstances) {
    policyLists = newPolicyLists;
    instances = newInstances;
  }

  /**
   * Admits a request and takes a rate token and a concurrency permit for it, or refuses it.
   *
   * @param nowNanos time of the event
   * @param customer customer of the request
   * @param service service of the request
   * @param out receives a request to the coordinator when tokens or permits run low
   * @return why the request is refused, or empty when it is admitted
   */
  Optional<Refusal> admit(
      long nowNanos, Optional<CustomerId> customer, ServiceName service, List<EntryEffect> out) {
    if (!isLimiting()) {
      return Optional.empty();
    }
    Optional<Allowance> allowance = customer.flatMap(policyLists::allowanceOf);
    if (allowance.isEmpty() || !allowance.get().services().contains(service)) {
      String name = customer.map(CustomerId::value).orElse("(no name)");
      String detail = "no plan of customer " + name + " includes service " + service;
      return Optional.of(new Refusal(ErrorKind.NOT_ALLOWED_BY_PLAN, 0, detail));
    }
    CustomerShare share =
        shares.computeIfAbsent(customer.get(), id -> newShare(nowNanos, allowance.get()));
    share.lastUsedNanos = nowNanos;
    Optional<Refusal> refusal = takeTokenAndPermit(nowNanos, share, allowance.get());
    requestGrantIfNeeded(nowNanos, customer.get(), share, allowance.get(), out);
    return refusal;
  }

  /**
   * Tells whether any plans or allowances are configured; otherwise all requests are admitted
   * without permits.
   */
  boolean isLimiting() {
    return !policyLists.plans().isEmpty() || !policyLists.allowances().isEmpty();
  }

  /** Returns the permit of an admitted request. */
  void release(Optional<CustomerId> customer) {
    CustomerShare share = customer.map(shares::get).orElse(null);
    if (share != null && share.inFlight > 0) {
      share.inFlight--;
    }
  }

  /** Grants shares to an entry that asked this instance as the coordinator of a customer. */
  Optional<EntryEffect> tokensRequested(EntryEvent.TokensRequested request) {
    return policyLists
        .allowanceOf(request.customer())
        .map(allowance -> coordinator.grant(request, allowance));
  }

  void tokensGranted(EntryEvent.TokensGranted grant) {
    CustomerShare share = shares.get(grant.customer());
    if (share == null) {
      return;
    }
    share.tokens += grant.tokens();
    share.permits = grant.permits();
    share.lastGrantNanos = grant.nowNanos();
    share.hasReceivedGrant = true;
    share.awaitingGrant = false;
  }

  void tick(long nowNanos) {
    shares
        .values()
        .removeIf(
            share -> share.inFlight == 0 && nowNanos - share.lastUsedNanos >= IDLE_TIMEOUT_NANOS);
    coordinator.expire(nowNanos, IDLE_TIMEOUT_NANOS);
  }

  private CustomerShare newShare(long nowNanos, Allowance allowance) {
    return new CustomerShare(new TokenBucket(nowNanos, evenShare(allowance.burst())));
  }

  private double evenShare(double total) {
    return Math.max(1, total / Math.max(1, instances.size()));
  }

  private Optional<Refusal> takeTokenAndPermit(
      long nowNanos, CustomerShare share, Allowance allowance) {
    boolean coordinatorUnresponsive = isCoordinatorUnresponsive(nowNanos, share);
    boolean permitsValid =
        share.hasReceivedGrant && nowNanos - share.lastGrantNanos < PERMIT_TTL_NANOS;
    int permits = permitsValid ? share.permits : (int) evenShare(allowance.concurrency());
    if (share.inFlight >= permits) {
      share.concurrencyRefusals++;
      return Optional.of(
          new Refusal(
              ErrorKind.CONCURRENCY_LIMITED,
              0,
              "the customer's concurrency permits are all in use"));
    }
    if (share.tokens > 0) {
      share.tokens--;
    } else if (!coordinatorUnresponsive || !takeFallbackToken(nowNanos, share, allowance)) {
      long retryMillis =
          Math.max(1, share.fallbackTokens.millisUntilToken(allowance.ratePerSecond()));
      return Optional.of(
          new Refusal(
              ErrorKind.RATE_LIMITED, retryMillis, "the customer's request rate is used up"));
    }
    share.inFlight++;
    return Optional.empty();
  }

  private boolean takeFallbackToken(long nowNanos, CustomerShare share, Allowance allowance) {
    double rate = allowance.ratePerSecond() / Math.max(1, instances.size());
    return share.fallbackTokens.take(nowNanos, rate, evenShare(allowance.burst()), 1) == 1;
  }

  private boolean isCoordinatorUnresponsive(long nowNanos, CustomerShare share) {
    return !share.hasReceivedGrant
        || (share.awaitingGrant
            && nowNanos - share.awaitingGrantSinceNanos >= COORDINATOR_TIMEOUT_NANOS);
  }

  private void requestGrantIfNeeded(
      long nowNanos,
      CustomerId customer,
      CustomerShare share,
      Allowance allowance,
      List<EntryEffect> out) {
    int batchTokens = (int) Math.max(1, Math.ceil(allowance.ratePerSecond() * TOKEN_BATCH_SECONDS));
    boolean needsGrant =
        share.tokens <= batchTokens / 2
            || share.inFlight >= share.permits
            || nowNanos - share.lastGrantNanos >= PERMIT_TTL_NANOS / 2;
    if (!needsGrant
        || (share.hasRequestedGrant
            && nowNanos - share.lastGrantRequestNanos < GRANT_REQUEST_INTERVAL_NANOS)) {
      return;
    }
    Optional<InstanceId> coordinatorInstance = CoordinatorSelector.of(customer, instances);
    if (coordinatorInstance.isEmpty()) {
      return;
    }
    share.hasRequestedGrant = true;
    share.lastGrantRequestNanos = nowNanos;
    if (!share.awaitingGrant) {
      share.awaitingGrant = true;
      share.awaitingGrantSinceNanos = nowNanos;
    }
    int permits = share.inFlight + 1 + share.concurrencyRefusals;
    share.concurrencyRefusals = 0;
    int tokens = Math.max(0, batchTokens - share.tokens);
    out.add(new EntryEffect.RequestTokens(coordinatorInstance.get(), customer, tokens, permits));
  }
}
