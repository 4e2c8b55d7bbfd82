package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetNotices;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Dispatches requests to one target under one dispatch fence.
 *
 * <p>The dispatcher is closed when the view no longer shows a grant of this instance with this
 * fence. A closed dispatcher sends no requests and only handles the outcomes of those in flight.
 */
final class TargetDispatcher {
  /** Counts per hash slot are too small to be meaningful over the 100 ms between reports. */
  private static final long HOTTEST_SLOTS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(ControlTiming.LEASE_MILLIS);

  /**
   * Maximum time from the first request that a new incarnation of a target accepts until the view
   * shows that incarnation.
   */
  private static final long MAX_ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Fence fence;
  private final TargetHashSlots hashSlots;
  private final InFlightRequests inFlightRequests;
  private final FairQueue queue = new FairQueue();
  private final IdentityTable identities;
  private final TargetMonitor monitor;
  private final OutcomeHandler outcomes;
  private final DispatchAdmission admission;
  private final Map<String, TargetDispatcher> dispatcherByRequest;
  private ConcurrencyLimit limit;
  private TargetNotices notices = new TargetNotices();
  private TargetSpec spec;
  private TargetStatus status;

  /**
   * True if this dispatcher existed before the current incarnation of the target, so that no
   * previous dispatcher has sent requests to it.
   */
  private boolean dispatchedSinceIncarnationStart;

  private boolean shuttingDown;
  private boolean closed;
  private long leaseUntilNanos;
  private final long createdNanos;
  private long lastReportNanos;
  private long lastHottestNanos;
  private int sentSinceReport;

  /**
   * Creates a dispatcher for a grant that has just appeared in the view.
   *
   * @param nowNanos time of the event
   * @param settings limits
   * @param service service of the target
   * @param entry the target, with its grant
   * @param dispatcherByRequest dispatcher of each accepted request that has not ended; shared by
   *     all dispatchers, each of which adds and removes its own requests
   */
  TargetDispatcher(
      long nowNanos,
      DispatchSettings settings,
      ServiceSpec service,
      TargetEntry entry,
      Map<String, TargetDispatcher> dispatcherByRequest) {
    this.spec = entry.spec();
    this.status = entry.status();
    this.fence = entry.grant().orElseThrow().fence();
    this.hashSlots =
        new TargetHashSlots(spec.id(), spec.service(), service.keyed() ? service.hashSlots() : 0);
    this.inFlightRequests = new InFlightRequests(hashSlots);
    this.identities = new IdentityTable(settings, nowNanos);
    this.monitor = new TargetMonitor(nowNanos, fence, spec, status);
    this.admission =
        new DispatchAdmission(
            settings, fence, hashSlots, inFlightRequests, queue, identities, monitor);
    this.limit = new ConcurrencyLimit(spec.slots());
    this.dispatcherByRequest = dispatcherByRequest;
    this.outcomes = new OutcomeHandler(spec, inFlightRequests, identities, dispatcherByRequest);
    this.lastReportNanos = nowNanos;
    this.lastHottestNanos = nowNanos;
    this.createdNanos = nowNanos;
  }

  Fence fence() {
    return fence;
  }

  int load() {
    return inFlightRequests.inFlightCount() + queue.size();
  }

  boolean isIdle() {
    return queue.size() == 0 && inFlightRequests.inFlightCount() == 0;
  }

  /** Tells whether no requests are in flight, so that a closed dispatcher can be removed. */
  boolean hasNoneInFlight() {
    return inFlightRequests.inFlightCount() == 0;
  }

  void viewChanged(
      long nowNanos,
      long newLeaseUntilNanos,
      RoutingView view,
      TargetEntry entry,
      List<DispatchEffect> out) {
    if (!entry.spec().incarnation().equals(spec.incarnation())) {
      // The end of the lease minus its length is the send time of the last acknowledged renewal.
      // Requests sent less than MAX_ANNOUNCE_NANOS before that or later may have reached the new
      // incarnation.
      long sentBeforeNanos = newLeaseUntilNanos - LEASE_NANOS - MAX_ANNOUNCE_NANOS;
      dispatchedSinceIncarnationStart |= createdNanos - sentBeforeNanos <= 0;
      outcomes.incarnationEnded(sentBeforeNanos);
      limit = new ConcurrencyLimit(entry.spec().slots());
      notices = new TargetNotices();
    }
    limit.setMaxLimit(entry.spec().slots());
    spec = entry.spec();
    status = entry.status();
    outcomes.specChanged(spec);
    monitor.viewChanged(spec, status);
    hashSlots.update(nowNanos, view);
    hashSlots.holdHandoversFrom(minReleasableFence());
    refuseQueuedIf(
        queued -> !hashSlots.isOwned(queued.hashSlot()),
        ErrorKind.NO_OWNER,
        0,
        "the target no longer owns the hash slot",
        out);
    tick(nowNanos, newLeaseUntilNanos, out);
  }

  void close(List<DispatchEffect> out) {
    closed = true;
    refuseQueuedIf(
        queued -> true,
        ErrorKind.STALE_FENCE,
        0,
        "the instance no longer holds the dispatch grant",
        out);
  }

  void shutdown() {
    shuttingDown = true;
  }

  void offered(
      long nowNanos, long newLeaseUntilNanos, DispatchRequest request, List<DispatchEffect> out) {
    leaseUntilNanos = newLeaseUntilNanos;
    Optional<DispatchEffect> refusal = admission.refusal(nowNanos, request, state(nowNanos));
    if (refusal.isPresent()) {
      out.add(refusal.get());
      return;
    }
    dispatcherByRequest.put(request.requestId(), this);
    if (queue.size() == 0 && canSend(nowNanos) && hashSlots.isSendable(request.hashSlot())) {
      send(nowNanos, request, out);
    } else {
      queue.add(request);
    }
  }

  void cancelled(long nowNanos, String requestId, List<DispatchEffect> out) {
    Optional<InFlightRequests.Sent> sent = inFlightRequests.findInFlight(requestId);
    if (sent.isPresent() && !sent.get().callerAnswered) {
      sent.get().callerAnswered = true;
      out.add(new DispatchEffect.SendCancel(spec.id(), requestId));
      return;
    }
    queue.removeIf(queued -> queued.requestId().equals(requestId)).forEach(outcomes::removeNotRun);
  }

  void replied(
      long nowNanos,
      long newLeaseUntilNanos,
      String requestId,
      TargetReply reply,
      List<DispatchEffect> out) {
    leaseUntilNanos = newLeaseUntilNanos;
    outcomes.replied(nowNanos, requestId, reply, limit, notices, out);
    refuseQueuedBeyondPause(nowNanos, out);
    sendQueued(nowNanos, out);
  }

  void grantAnswered(
      long nowNanos,
      long newLeaseUntilNanos,
      DispatchEvent.GrantAnswered answer,
      List<DispatchEffect> out) {
    leaseUntilNanos = newLeaseUntilNanos;
    if (answer.fence().equals(fence)) {
      monitor.grantAnswered(answer.runningOlder(), answer.clockMillis());
      tick(nowNanos, newLeaseUntilNanos, out);
    }
  }

  void probeAnswered(long nowNanos, long newLeaseUntilNanos, List<DispatchEffect> out) {
    leaseUntilNanos = newLeaseUntilNanos;
    monitor.probeAnswered();
    sendQueued(nowNanos, out);
  }

  void grantRejected(Fence newerFence, List<DispatchEffect> out) {
    if (fence.isOlderThan(newerFence)) {
      monitor.superseded();
      refuseQueuedIf(
          queued -> true,
          ErrorKind.STALE_FENCE,
          0,
          "the target has received a grant with a newer fence",
          out);
    }
  }

  void grantOrProbeFailed() {
    monitor.grantOrProbeFailed();
  }

  void tick(long nowNanos, long newLeaseUntilNanos, List<DispatchEffect> out) {
    leaseUntilNanos = newLeaseUntilNanos;
    identities.expire(nowNanos);
    expireQueued(nowNanos, out);
    outcomes.expire(nowNanos, out);
    if (closed) {
      return;
    }
    if (monitor.isReleased() || status == TargetStatus.LOST || status == TargetStatus.GONE) {
      refuseQueuedIf(queued -> true, ErrorKind.NO_OWNER, 0, "the target is lost or removed", out);
    }
    if (!isShutdownComplete()) {
      monitor.sendIfDue(nowNanos, newLeaseUntilNanos, inFlightRequests.hasUnresolved(), out);
    }
    sendQueued(nowNanos, out);
  }

  /**
   * Returns the report, or empty when the dispatcher has no more work after shutdown or removal.
   */
  Optional<TargetReport> report(long nowNanos) {
    if (isShutdownComplete() || (status == TargetStatus.GONE && isIdle())) {
      return Optional.empty();
    }
    TargetCondition condition = monitor.report(nowNanos, mayStillExecute());
    long intervalNanos = Math.max(1, nowNanos - lastReportNanos);
    double requestsPerSecond =
        sentSinceReport * (double) TimeUnit.SECONDS.toNanos(1) / intervalNanos;
    lastReportNanos = nowNanos;
    sentSinceReport = 0;
    return Optional.of(
        new TargetReport(
            spec.id(),
            fence,
            condition,
            inFlightRequests.inFlightCount(),
            queue.size(),
            requestsPerSecond,
            releasedSlots(),
            takeHottest(nowNanos)));
  }

  private List<SlotLoad> takeHottest(long nowNanos) {
    long intervalNanos = nowNanos - lastHottestNanos;
    if (intervalNanos < HOTTEST_SLOTS_INTERVAL_NANOS) {
      return List.of();
    }
    lastHottestNanos = nowNanos;
    return hashSlots.takeHottest(intervalNanos);
  }

  private boolean isShutdownComplete() {
    return shuttingDown && isIdle();
  }

  /**
   * Tells whether a target that does not check fences may still execute requests sent earlier. For
   * hash slots owned since before this grant, requests of a previous dispatcher may be among them.
   * A later ownership implies that the slot was released without unresolved requests.
   */
  private boolean mayStillExecute() {
    return inFlightRequests.hasUnresolved()
        || (!dispatchedSinceIncarnationStart && hashSlots.ownsSlotSinceBefore(fence));
  }

  private List<Integer> releasedSlots() {
    if (!monitor.isClearOfOlderFences()) {
      return List.of();
    }
    return hashSlots.releasable(minReleasableFence());
  }

  /**
   * Returns the lowest ownership fence of hash slots that can be released. Slots owned since before
   * this grant are releasable only if the target checks fences or has restarted since, so that it
   * cannot execute requests of a previous dispatcher.
   */
  private long minReleasableFence() {
    return spec.checksFences() || dispatchedSinceIncarnationStart ? 0 : fence.value();
  }

  private DispatchAdmission.DispatcherState state(long nowNanos) {
    return new DispatchAdmission.DispatcherState(
        spec, status, limit, notices, capacity(nowNanos), leaseUntilNanos, shuttingDown, closed);
  }

  private int capacity(long nowNanos) {
    return Math.min(limit.current(nowNanos), spec.slots() - monitor.runningOlder());
  }

  private boolean canSend(long nowNanos) {
    return !closed
        && nowNanos - leaseUntilNanos < 0
        && monitor.isUsable(nowNanos)
        && notices.remainingPauseMillis(nowNanos) == 0
        && inFlightRequests.inFlightCount() < capacity(nowNanos);
  }

  private void sendQueued(long nowNanos, List<DispatchEffect> out) {
    if (queue.size() == 0) {
      return;
    }
    if (nowNanos - leaseUntilNanos >= 0) {
      refuseQueuedIf(
          queued -> true, ErrorKind.NO_LEASE, 0, "the lease of the instance has run out", out);
    }
    expireQueued(nowNanos, out);
    boolean foundSendable = true;
    while (foundSendable && queue.size() > 0 && canSend(nowNanos)) {
      Optional<DispatchRequest> next =
          queue.poll(queued -> hashSlots.isSendable(queued.hashSlot()));
      next.ifPresent(request -> send(nowNanos, request, out));
      foundSendable = next.isPresent();
    }
  }

  private void send(long nowNanos, DispatchRequest request, List<DispatchEffect> out) {
    inFlightRequests.sent(nowNanos, request);
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
    refuseQueuedIf(
        queued -> nowNanos - queued.deadlineNanos() >= 0,
        ErrorKind.DEADLINE_UNREACHABLE,
        0,
        "the deadline passed while the request was queued",
        out);
  }

  /** Refuses at once the requests that the target's pause outlasts. */
  private void refuseQueuedBeyondPause(long nowNanos, List<DispatchEffect> out) {
    long pauseMillis = notices.remainingPauseMillis(nowNanos);
    if (pauseMillis > 0) {
      refuseQueuedIf(
          queued -> DispatchAdmission.isOutlasted(nowNanos, pauseMillis, queued),
          ErrorKind.OVERLOADED,
          pauseMillis,
          DispatchAdmission.PAUSED,
          out);
    }
  }

  private void refuseQueuedIf(
      Predicate<DispatchRequest> matches,
      ErrorKind kind,
      long retryAfterMillis,
      String detail,
      List<DispatchEffect> out) {
    for (DispatchRequest request : queue.removeIf(matches)) {
      outcomes.removeNotRun(request);
      out.add(
          new DispatchEffect.RefuseRequest(request.requestId(), kind, retryAfterMillis, detail));
    }
  }
}
