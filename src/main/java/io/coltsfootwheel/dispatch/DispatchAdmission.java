package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetNotices;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether the dispatcher of a target accepts a request, and records the identity of an
 * accepted one.
 */
final class DispatchAdmission {
  static final String PAUSED = "the target wants no requests for a time";

  private final DispatchSettings settings;
  private final Fence fence;
  private final TargetHashSlots hashSlots;
  private final InFlightRequests inFlightRequests;
  private final FairQueue queue;
  private final IdentityTable identities;
  private final TargetMonitor monitor;

  /**
   * State of the dispatcher at the time of a decision.
   *
   * @param spec the target
   * @param status status of the target
   * @param limit concurrency limit of the target
   * @param notices what the target has said of itself
   * @param capacity number of requests that may be in flight now
   * @param leaseUntilNanos end of the lease of this instance
   * @param shuttingDown true after the shutdown of this instance began
   * @param closed true after the dispatch grant ended
   */
  record DispatcherState(
      TargetSpec spec,
      TargetStatus status,
      ConcurrencyLimit limit,
      TargetNotices notices,
      int capacity,
      long leaseUntilNanos,
      boolean shuttingDown,
      boolean closed) {}

  DispatchAdmission(
      DispatchSettings settings,
      Fence fence,
      TargetHashSlots hashSlots,
      InFlightRequests inFlightRequests,
      FairQueue queue,
      IdentityTable identities,
      TargetMonitor monitor) {
    this.settings = settings;
    this.fence = fence;
    this.hashSlots = hashSlots;
    this.inFlightRequests = inFlightRequests;
    this.queue = queue;
    this.identities = identities;
    this.monitor = monitor;
  }

  /**
   * Checks a request and records its identity if it is accepted.
   *
   * @param nowNanos time of the event
   * @param request the request
   * @param state state of the dispatcher
   * @return the refusal, or empty if the request is accepted
   */
  Optional<DispatchEffect> refusal(long nowNanos, DispatchRequest request, DispatcherState state) {
    return checkGrant(nowNanos, request, state)
        .or(() -> checkService(request, state))
        .or(() -> checkPause(nowNanos, request, state))
        .or(() -> checkLoad(nowNanos, request, state))
        .or(() -> recordIdentity(nowNanos, request, state.spec()));
  }

  private Optional<DispatchEffect> checkGrant(
      long nowNanos, DispatchRequest request, DispatcherState state) {
    if (state.shuttingDown()) {
      return refuse(request, ErrorKind.SHUTTING_DOWN, 0, "the instance is shutting down");
    }
    if (nowNanos - state.leaseUntilNanos() >= 0) {
      return refuse(request, ErrorKind.NO_LEASE, 0, "the lease of the instance has run out");
    }
    if (state.closed() || monitor.isSuperseded() || !request.fence().equals(fence)) {
      return refuse(request, ErrorKind.STALE_FENCE, 0, "the current dispatch fence is " + fence);
    }
    return Optional.empty();
  }

  private Optional<DispatchEffect> checkService(DispatchRequest request, DispatcherState state) {
    boolean acceptsRequest =
        state.status() == TargetStatus.ACTIVE
            || (state.status() == TargetStatus.DRAINING && request.hashSlot().isPresent());
    if (acceptsRequest && !monitor.isReleased() && hashSlots.isOwned(request.hashSlot())) {
      return Optional.empty();
    }
    return refuse(
        request,
        ErrorKind.NO_OWNER,
        0,
        "target "
            + state.spec().id()
            + " does not serve "
            + InFlightRequests.describeHashSlot(request.hashSlot()));
  }

  private static Optional<DispatchEffect> checkPause(
      long nowNanos, DispatchRequest request, DispatcherState state) {
    long pauseMillis = state.notices().remainingPauseMillis(nowNanos);
    return pauseMillis > 0 && isOutlasted(nowNanos, pauseMillis, request)
        ? refuse(request, ErrorKind.OVERLOADED, pauseMillis, PAUSED)
        : Optional.empty();
  }

  /** Returns whether a pause of the target lasts until the deadline of a request. */
  static boolean isOutlasted(long nowNanos, long pauseMillis, DispatchRequest request) {
    return TimeUnit.MILLISECONDS.toNanos(pauseMillis) >= request.deadlineNanos() - nowNanos;
  }

  private Optional<DispatchEffect> checkLoad(
      long nowNanos, DispatchRequest request, DispatcherState state) {
    boolean allSlotsBusy = inFlightRequests.inFlightCount() >= state.capacity();
    double waitNanos = allSlotsBusy ? queueWaitNanos(state) : 0;
    long remainingNanos = request.deadlineNanos() - nowNanos;
    long waitMillis = TimeUnit.NANOSECONDS.toMillis((long) waitNanos);
    if (remainingNanos <= 0 || waitNanos > remainingNanos) {
      return refuse(
          request,
          ErrorKind.DEADLINE_UNREACHABLE,
          waitMillis,
          "the expected wait for a slot of the target is " + waitMillis + " ms");
    }
    boolean canSendNow =
        queue.size() == 0 && !allSlotsBusy && hashSlots.isSendable(request.hashSlot());
    if (!canSendNow && isQueueFull(request, state.spec())) {
      long retryMillis = Math.max(waitMillis, state.limit().remainingSheddingMillis(nowNanos));
      return refuse(request, ErrorKind.OVERLOADED, retryMillis, "the queue of the target is full");
    }
    return Optional.empty();
  }

  private double queueWaitNanos(DispatcherState state) {
    return (queue.size() + 1) * state.limit().meanServiceNanos() / state.spec().slots();
  }

  /**
   * Requests held for a handover may use half of the queue, so that they do not crowd out others.
   */
  private boolean isQueueFull(DispatchRequest request, TargetSpec spec) {
    int maxQueued = settings.maxQueuedPerSlot() * spec.slots();
    boolean held = hashSlots.isHeldForHandover(request.hashSlot());
    return queue.size() >= maxQueued
        || (held
            && queue.count(queued -> hashSlots.isHeldForHandover(queued.hashSlot()))
                >= maxQueued / 2);
  }

  private Optional<DispatchEffect> recordIdentity(
      long nowNanos, DispatchRequest request, TargetSpec spec) {
    if (request.identity().isEmpty() || spec.keepsIdentities()) {
      return Optional.empty();
    }
    return identities
        .begin(
            nowNanos,
            request.identity().get(),
            request.idempotent(),
            Math.max(fence.value(), hashSlots.ownershipFence(request.hashSlot())),
            hashSlots.ownedSinceNanos(request.hashSlot()))
        .flatMap(refusal -> refuse(request, refusal.kind(), 0, refusal.detail()));
  }

  private static Optional<DispatchEffect> refuse(
      DispatchRequest request, ErrorKind kind, long retryAfterMillis, String detail) {
    return Optional.of(
        new DispatchEffect.RefuseRequest(request.requestId(), kind, retryAfterMillis, detail));
  }
}
