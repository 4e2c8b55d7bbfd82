package io.coltsfootwheel.dispatch;

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
 * <p>Each customer has a home instance, from which entries lease batches of rate tokens and
 * concurrency permits. While the home does not answer an entry, the entry uses an even share
 * instead: rate, burst and concurrency divided by the number of instances, at least 1 each.
 *
 * <p>Bound on over-use with n instances: while the home answers all, a customer gets at most the
 * burst plus rate x time, plus one share of the burst per entry at its first request. While some
 * entries cannot reach the home, their shares are added, so at most twice the rate and twice the
 * burst plus n requests are admitted. Concurrency is at most twice the allowance plus n. A move of
 * the home adds the permits leased by the old home for at most {@value #PERMIT_MILLIS} ms.
 */
final class AdmissionLimiter {
  /** Life of leased concurrency permits. */
  static final int PERMIT_MILLIS = 2_000;

  private static final long PERMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(PERMIT_MILLIS);
  private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time without an answer after which the entry uses its even share. */
  private static final long HOME_SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final long IDLE_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Time covered by one batch of tokens. */
  private static final double BATCH_SECONDS = 0.1;

  /** Refusal of a request. */
  record Refusal(ErrorKind kind, long retryAfterMillis, String detail) {}

  private static final class Share {
    private final TokenBucket fallback;
    private int tokens;
    private int permits;
    private int inFlight;
    private int concurrencyRefusals;
    private long usedNanos;
    private long askedNanos;
    private long unansweredSinceNanos;
    private long answeredNanos;
    private boolean asked;
    private boolean unanswered;
    private boolean everAnswered;

    private Share(TokenBucket fallback) {
      this.fallback = fallback;
    }
  }

  private final Map<CustomerId, Share> shares = new HashMap<>();
  private final AllowanceHome home = new AllowanceHome();
  private PolicyLists lists = PolicyLists.empty();
  private List<InstanceId> instances = List.of();

  void viewChanged(PolicyLists newLists, List<InstanceId> newInstances) {
    lists = newLists;
    instances = newInstances;
  }

  /**
   * Admits a request and takes its token and permit, or refuses it.
   *
   * @param nowNanos time of the event
   * @param customer customer of the request
   * @param service service of the request
   * @param out receives a request for more tokens when one is due
   * @return why the request is refused, or empty when it is admitted
   */
  Optional<Refusal> admit(
      long nowNanos, Optional<CustomerId> customer, ServiceName service, List<EntryEffect> out) {
    if (!isLimiting()) {
      return Optional.empty();
    }
    Optional<Allowance> allowance = customer.flatMap(lists::allowanceOf);
    if (allowance.isEmpty() || !allowance.get().services().contains(service)) {
      String name = customer.map(CustomerId::value).orElse("without name");
      String detail = "no plan of customer " + name + " opens service " + service;
      return Optional.of(new Refusal(ErrorKind.NOT_ALLOWED_BY_PLAN, 0, detail));
    }
    Share share = shares.computeIfAbsent(customer.get(), c -> newShare(nowNanos, allowance.get()));
    share.usedNanos = nowNanos;
    Optional<Refusal> refusal = take(nowNanos, share, allowance.get());
    ask(nowNanos, customer.get(), share, allowance.get(), out);
    return refusal;
  }

  /** Tells whether there are lists; without them admission takes no permits. */
  boolean isLimiting() {
    return !lists.plans().isEmpty() || !lists.allowances().isEmpty();
  }

  /** Gives the permit of an admitted request back. */
  void released(Optional<CustomerId> customer) {
    Share share = customer.map(shares::get).orElse(null);
    if (share != null && share.inFlight > 0) {
      share.inFlight--;
    }
  }

  /** Grants shares to an entry that asked this instance as the home of a customer. */
  Optional<EntryEffect> tokensRequested(EntryEvent.TokensRequested wanted) {
    return lists.allowanceOf(wanted.customer()).map(a -> home.grant(wanted, a));
  }

  void tokensGranted(EntryEvent.TokensGranted granted) {
    Share share = shares.get(granted.customer());
    if (share == null) {
      return;
    }
    share.tokens += granted.tokens();
    share.permits = granted.permits();
    share.answeredNanos = granted.nowNanos();
    share.everAnswered = true;
    share.unanswered = false;
  }

  void tick(long nowNanos) {
    shares.values().removeIf(s -> s.inFlight == 0 && nowNanos - s.usedNanos >= IDLE_NANOS);
    home.expire(nowNanos, IDLE_NANOS);
  }

  private Share newShare(long nowNanos, Allowance allowance) {
    return new Share(new TokenBucket(nowNanos, evenShare(allowance.burst())));
  }

  private double evenShare(double total) {
    return Math.max(1, total / Math.max(1, instances.size()));
  }

  private Optional<Refusal> take(long nowNanos, Share share, Allowance allowance) {
    boolean alone = isHomeSilent(nowNanos, share);
    boolean permitsValid = share.everAnswered && nowNanos - share.answeredNanos < PERMIT_NANOS;
    int permits = permitsValid ? share.permits : (int) evenShare(allowance.concurrency());
    if (share.inFlight >= permits) {
      share.concurrencyRefusals++;
      return Optional.of(
          new Refusal(ErrorKind.CONCURRENCY_LIMITED, 0, "the customer's permits are in use"));
    }
    if (share.tokens > 0) {
      share.tokens--;
    } else if (!alone || !takeFallback(nowNanos, share, allowance)) {
      long retryMillis = Math.max(1, share.fallback.millisUntilToken(allowance.ratePerSecond()));
      return Optional.of(
          new Refusal(ErrorKind.RATE_LIMITED, retryMillis, "the customer's rate is used up"));
    }
    share.inFlight++;
    return Optional.empty();
  }

  private boolean takeFallback(long nowNanos, Share share, Allowance allowance) {
    double rate = allowance.ratePerSecond() / Math.max(1, instances.size());
    return share.fallback.take(nowNanos, rate, evenShare(allowance.burst()), 1) == 1;
  }

  private boolean isHomeSilent(long nowNanos, Share share) {
    return !share.everAnswered
        || (share.unanswered && nowNanos - share.unansweredSinceNanos >= HOME_SILENT_NANOS);
  }

  private void ask(
      long nowNanos, CustomerId customer, Share share, Allowance allowance, List<EntryEffect> out) {
    int batch = (int) Math.max(1, Math.ceil(allowance.ratePerSecond() * BATCH_SECONDS));
    boolean low =
        share.tokens <= batch / 2
            || share.inFlight >= share.permits
            || nowNanos - share.answeredNanos >= PERMIT_NANOS / 2;
    if (!low || (share.asked && nowNanos - share.askedNanos < ASK_INTERVAL_NANOS)) {
      return;
    }
    Optional<InstanceId> homeInstance = HomeInstances.of(customer, instances);
    if (homeInstance.isEmpty()) {
      return;
    }
    share.asked = true;
    share.askedNanos = nowNanos;
    if (!share.unanswered) {
      share.unanswered = true;
      share.unansweredSinceNanos = nowNanos;
    }
    int permits = share.inFlight + 1 + share.concurrencyRefusals;
    share.concurrencyRefusals = 0;
    int tokens = Math.max(0, batch - share.tokens);
    out.add(new EntryEffect.RequestTokens(homeInstance.get(), customer, tokens, permits));
  }
}
