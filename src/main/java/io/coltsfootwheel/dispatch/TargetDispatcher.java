package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Dispatches to one target under one dispatch fence.
 *
 * <p>It is closed when the grant has moved; then it sends nothing more and only settles what it has
 * sent.
 */
final class TargetDispatcher {
  /** Counts of single hash slots mean little over the 100 ms between reports. */
  private static final long HOTTEST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(ControlTiming.LEASE_MILLIS);

  /** Bound on the time from a target's first accepted request to its new incarnation's view. */
  private static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final DispatchSettings settings;
  private final Fence fence;
  private final SlotTable slots;
  private final SendLedger ledger;
  private final FairQueue queue = new FairQueue();
  private final IdentityTable identities;
  private final TargetContact contact;
  private final SendOutcomes outcomes;
  private final Map<String, TargetDispatcher> requests;
  private ConcurrencyLimit limit;
  private TargetSpec spec;
  private TargetStatus status;
  private boolean seenIncarnationBegin;
  private boolean shuttingDown;
  private boolean closed;
  private long leaseUntilNanos;
  private final long createdNanos;
  private long lastReportNanos;
  private long lastHottestNanos;
  private int sentSinceReport;

  /**
   * Creates a dispatcher for a grant that this instance has just seen.
   *
   * @param nowNanos time of the event
   * @param settings limits
   * @param service service of the target
   * @param entry the target with its grant
   * @param requests index of the open requests of all dispatchers, kept up to date by each
   */
  TargetDispatcher(
      long nowNanos,
      DispatchSettings settings,
      ServiceSpec service,
      TargetEntry entry,
      Map<String, TargetDispatcher> requests) {
    this.settings = settings;
    this.spec = entry.spec();
    this.status = entry.status();
    this.fence = entry.grant().orElseThrow().fence();
    this.slots =
        new SlotTable(spec.id(), spec.service(), service.keyed() ? service.hashSlots() : 0);
    this.ledger = new SendLedger(slots);
    this.identities = new IdentityTable(settings, nowNanos);
    this.contact = new TargetContact(nowNanos, fence, spec, status);
    this.limit = new ConcurrencyLimit(spec.slots());
    this.requests = requests;
    this.outcomes = new SendOutcomes(spec, ledger, identities, requests);
    this.lastReportNanos = nowNanos;
    this.lastHottestNanos = nowNanos;
    this.createdNanos = nowNanos;
  }

  Fence fence() {
    return fence;
  }

  int load() {
    return ledger.inFlight() + queue.size();
  }

  /** Tells whether a closed dispatcher has settled everything that it can. */
  boolean isSettled() {
    return ledger.inFlight() == 0;
  }

  void viewChanged(
      long nowNanos,
      long leaseNanos,
      RoutingView view,
      TargetEntry entry,
      List<DispatchEffect> out) {
    if (!entry.spec().incarnation().equals(spec.incarnation())) {
      // What was sent later may have reached the new process before the view showed it.
      long sentBeforeNanos = leaseNanos - LEASE_NANOS - ANNOUNCE_NANOS;
      seenIncarnationBegin |= createdNanos - sentBeforeNanos <= 0;
      outcomes.incarnationEnded(sentBeforeNanos);
      limit = new ConcurrencyLimit(entry.spec().slots());
    }
    spec = entry.spec();
    status = entry.status();
    outcomes.specChanged(spec);
    contact.viewChanged(spec, status);
    slots.update(nowNanos, view);
    slots.holdFrom(releasableFrom());
    refuseIf(
        r -> !slots.isOwned(r.hashSlot()),
        ErrorKind.NO_OWNER,
        0,
        "the target no longer owns the hash slot",
        out);
    tick(nowNanos, leaseNanos, out);
  }

  void close(List<DispatchEffect> out) {
    closed = true;
    refuseIf(r -> true, ErrorKind.STALE_FENCE, 0, "the dispatch grant has moved", out);
  }

  void shutdown() {
    shuttingDown = true;
  }

  void offered(long nowNanos, long leaseNanos, DispatchRequest request, List<DispatchEffect> out) {
    leaseUntilNanos = leaseNanos;
    Optional<DispatchEffect> refusal = check(nowNanos, request);
    if (refusal.isPresent()) {
      out.add(refusal.get());
      return;
    }
    requests.put(request.requestId(), this);
    if (queue.size() == 0 && canSend(nowNanos) && isSendable(request)) {
      send(nowNanos, request, out);
    } else {
      queue.add(request);
    }
  }

  void cancelled(long nowNanos, String requestId, List<DispatchEffect> out) {
    Optional<SendLedger.Sent> sent = ledger.find(requestId);
    if (sent.isPresent() && !sent.get().answered) {
      sent.get().answered = true;
      out.add(new DispatchEffect.SendCancel(spec.id(), requestId));
      return;
    }
    queue.removeIf(r -> r.requestId().equals(requestId)).forEach(outcomes::notRun);
  }

  void replied(
      long nowNanos,
      long leaseNanos,
      String requestId,
      TargetReply reply,
      List<DispatchEffect> out) {
    leaseUntilNanos = leaseNanos;
    outcomes.replied(nowNanos, requestId, reply, limit, out);
    pump(nowNanos, out);
  }

  void grantAnswered(
      long nowNanos,
      long leaseNanos,
      DispatchEvent.GrantAnswered answer,
      List<DispatchEffect> out) {
    leaseUntilNanos = leaseNanos;
    if (answer.fence().equals(fence)) {
      contact.grantAnswered(answer.runningOlder(), answer.clockMillis());
      tick(nowNanos, leaseNanos, out);
    }
  }

  void probeAnswered(long nowNanos, long leaseNanos, List<DispatchEffect> out) {
    leaseUntilNanos = leaseNanos;
    contact.probeAnswered();
    pump(nowNanos, out);
  }

  void grantRejected(Fence newer, List<DispatchEffect> out) {
    if (fence.isOlderThan(newer)) {
      contact.superseded();
      refuseIf(r -> true, ErrorKind.STALE_FENCE, 0, "the target has a newer fence", out);
    }
  }

  void contactFailed() {
    contact.failed();
  }

  void tick(long nowNanos, long leaseNanos, List<DispatchEffect> out) {
    leaseUntilNanos = leaseNanos;
    identities.expire(nowNanos);
    expireQueued(nowNanos, out);
    outcomes.expire(nowNanos, out);
    if (closed) {
      return;
    }
    if (contact.isReleased() || status == TargetStatus.LOST || status == TargetStatus.GONE) {
      refuseIf(r -> true, ErrorKind.NO_OWNER, 0, "the target is lost", out);
    }
    if (!isLeaving()) {
      contact.poll(nowNanos, leaseNanos, ledger.hasOpen(), out);
    }
    pump(nowNanos, out);
  }

  /** Returns the report, or empty when the dispatcher has ended its work on shutdown. */
  Optional<TargetReport> report(long nowNanos) {
    if (isLeaving() || (status == TargetStatus.GONE && isIdle())) {
      return Optional.empty();
    }
    TargetCondition condition = contact.report(nowNanos, mayRunMore());
    long intervalNanos = Math.max(1, nowNanos - lastReportNanos);
    double perSecond = sentSinceReport * (double) TimeUnit.SECONDS.toNanos(1) / intervalNanos;
    lastReportNanos = nowNanos;
    sentSinceReport = 0;
    return Optional.of(
        new TargetReport(
            spec.id(),
            fence,
            condition,
            ledger.inFlight(),
            queue.size(),
            perSecond,
            releasedSlots(),
            takeHottest(nowNanos)));
  }

  private List<SlotLoad> takeHottest(long nowNanos) {
    long intervalNanos = nowNanos - lastHottestNanos;
    if (intervalNanos < HOTTEST_INTERVAL_NANOS) {
      return List.of();
    }
    lastHottestNanos = nowNanos;
    return slots.takeHottest(intervalNanos);
  }

  private boolean isIdle() {
    return queue.size() == 0 && ledger.inFlight() == 0;
  }

  private boolean isLeaving() {
    return shuttingDown && isIdle();
  }

  /**
   * Tells whether a target that does not check fences may still execute something. What a previous
   * dispatcher sent is unknown for slots owned since before this grant: a later ownership implies
   * that the slot was released with nothing open.
   */
  private boolean mayRunMore() {
    return ledger.hasOpen() || (!seenIncarnationBegin && slots.ownsSlotFromBefore(fence));
  }

  private List<Integer> releasedSlots() {
    if (!contact.isClearOfOlder()) {
      return List.of();
    }
    return slots.releasable(releasableFrom());
  }

  /** Slots owned from before this grant need a target of which nothing older can run. */
  private long releasableFrom() {
    return spec.checksFences() || seenIncarnationBegin ? 0 : fence.value();
  }

  private Optional<DispatchEffect> check(long nowNanos, DispatchRequest request) {
    if (shuttingDown) {
      return refusal(request, ErrorKind.SHUTTING_DOWN, 0, "the instance shuts down");
    }
    if (nowNanos - leaseUntilNanos >= 0) {
      return refusal(request, ErrorKind.NO_LEASE, 0, "the instance lease has run out");
    }
    if (closed || contact.isSuperseded() || !request.fence().equals(fence)) {
      return refusal(request, ErrorKind.STALE_FENCE, 0, "the dispatch fence is " + fence);
    }
    if (!mayServe(request)) {
      return refusal(
          request,
          ErrorKind.NO_OWNER,
          0,
          "target " + spec.id() + " does not serve " + SendLedger.slotText(request.hashSlot()));
    }
    return checkLoad(nowNanos, request).or(() -> checkIdentity(nowNanos, request));
  }

  private boolean mayServe(DispatchRequest request) {
    boolean takesWork =
        status == TargetStatus.ACTIVE
            || (status == TargetStatus.DRAINING && request.hashSlot().isPresent());
    return takesWork && !contact.isReleased() && slots.isOwned(request.hashSlot());
  }

  private Optional<DispatchEffect> checkLoad(long nowNanos, DispatchRequest request) {
    double meanNanos = limit.meanNanos();
    boolean isFree =
        queue.size() == 0 && ledger.inFlight() < capacity(nowNanos) && isSendable(request);
    boolean isBusy = ledger.inFlight() >= capacity(nowNanos);
    double waitNanos = isBusy ? (queue.size() + 1) * meanNanos / spec.slots() : 0;
    long remainingNanos = request.deadlineNanos() - nowNanos;
    long waitMillis = TimeUnit.NANOSECONDS.toMillis((long) waitNanos);
    if (remainingNanos <= 0 || waitNanos > remainingNanos) {
      return refusal(
          request,
          ErrorKind.DEADLINE_UNREACHABLE,
          waitMillis,
          "the expected wait is " + waitMillis + " ms");
    }
    if (!isFree && isQueueFull(request)) {
      long retryMillis = Math.max(waitMillis, limit.shedMillis(nowNanos));
      return refusal(request, ErrorKind.OVERLOADED, retryMillis, "the queue is full");
    }
    return Optional.empty();
  }

  /** Requests for hash slots in handover get half of the queue, so they do not block the others. */
  private boolean isQueueFull(DispatchRequest request) {
    int bound = settings.queuePerSlot() * spec.slots();
    boolean blocked = slots.isInHandover(request.hashSlot());
    return queue.size() >= bound
        || (blocked && queue.count(r -> slots.isInHandover(r.hashSlot())) >= bound / 2);
  }

  private Optional<DispatchEffect> checkIdentity(long nowNanos, DispatchRequest request) {
    if (request.identity().isEmpty() || spec.keepsIdentities()) {
      return Optional.empty();
    }
    return identities
        .begin(
            nowNanos,
            request.identity().get(),
            request.idempotent(),
            Math.max(fence.value(), slots.ownershipFence(request.hashSlot())),
            slots.ownedSinceNanos(request.hashSlot()))
        .flatMap(r -> refusal(request, r.kind(), 0, r.detail()));
  }

  private static Optional<DispatchEffect> refusal(
      DispatchRequest request, ErrorKind kind, long retryAfterMillis, String detail) {
    return Optional.of(
        new DispatchEffect.RefuseRequest(request.requestId(), kind, retryAfterMillis, detail));
  }

  private int capacity(long nowNanos) {
    return Math.min(limit.inUse(nowNanos), spec.slots() - contact.runningOlder());
  }

  private boolean canSend(long nowNanos) {
    return !closed
        && nowNanos - leaseUntilNanos < 0
        && contact.isUsable(nowNanos)
        && ledger.inFlight() < capacity(nowNanos);
  }

  private boolean isSendable(DispatchRequest request) {
    return slots.isOwned(request.hashSlot()) && !slots.isInHandover(request.hashSlot());
  }

  private void pump(long nowNanos, List<DispatchEffect> out) {
    if (queue.size() == 0) {
      return;
    }
    if (nowNanos - leaseUntilNanos >= 0) {
      refuseIf(r -> true, ErrorKind.NO_LEASE, 0, "the instance lease has run out", out);
    }
    expireQueued(nowNanos, out);
    boolean sending = true;
    while (sending && queue.size() > 0 && canSend(nowNanos)) {
      Optional<DispatchRequest> next = queue.poll(this::isSendable);
      next.ifPresent(request -> send(nowNanos, request, out));
      sending = next.isPresent();
    }
  }

  private void send(long nowNanos, DispatchRequest request, List<DispatchEffect> out) {
    ledger.sent(nowNanos, request);
    sentSinceReport++;
    out.add(
        new DispatchEffect.SendToTarget(
            request.requestId(),
            spec.id(),
            fence,
            request.hashSlot(),
            TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos),
            leaseUntilNanos));
  }

  private void expireQueued(long nowNanos, List<DispatchEffect> out) {
    refuseIf(
        r -> nowNanos - r.deadlineNanos() >= 0,
        ErrorKind.DEADLINE_UNREACHABLE,
        0,
        "the deadline passed in the queue",
        out);
  }

  private void refuseIf(
      Predicate<DispatchRequest> matches,
      ErrorKind kind,
      long retryAfterMillis,
      String detail,
      List<DispatchEffect> out) {
    for (DispatchRequest request : queue.removeIf(matches)) {
      outcomes.notRun(request);
      out.add(
          new DispatchEffect.RefuseRequest(request.requestId(), kind, retryAfterMillis, detail));
    }
  }
}
