package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Routes the requests that callers send to one entry to the dispatchers of their targets.
 *
 * <p>An attempt that was not run is retried within the retry budget and the deadline, an attempt
 * with unknown outcome only when the request is idempotent. While the key of a request has no owner
 * or the dispatcher of the owner has no lease, the request waits in steps of {@value
 * #WAIT_STEP_MILLIS} ms, so callers see no error during a handover or a loss of an instance or
 * target that takes less than a second.
 *
 * <p>Usage: {@code router.apply(new EntryEvent.RequestArrived(now,
 * request)).forEach(driver::execute)}.
 */
public final class EntryRouter {
  private static final long WAIT_STEP_MILLIS = 25;

  /**
   * Time after which a route whose dispatcher refused an attempt is tried again although the view
   * still shows the same route.
   */
  private static final long SAME_ROUTE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final long STALE_LISTS_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.STALE_LISTS_MILLIS);
  private static final long DEADLINE_SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Time after the deadline for which the entry waits for the dispatcher's own error, because that
   * one is more specific.
   */
  private static final long RESPONSE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Kinds of refusals that end when the view shows another owner or dispatcher. */
  private static final Set<ErrorKind> RESOLVED_BY_NEW_ROUTE =
      Set.of(
          ErrorKind.NO_OWNER, ErrorKind.NO_LEASE, ErrorKind.STALE_FENCE, ErrorKind.SHUTTING_DOWN);

  private static final Set<ErrorKind> RETRYABLE =
      Set.of(
          ErrorKind.NO_OWNER,
          ErrorKind.NO_LEASE,
          ErrorKind.STALE_FENCE,
          ErrorKind.SHUTTING_DOWN,
          ErrorKind.TARGET_REFUSED,
          ErrorKind.OVERLOADED,
          ErrorKind.TARGET_FAILED);

  private record Route(TargetId target, DispatchGrant grant, OptionalInt hashSlot) {}

  private record Failure(ErrorKind kind, long retryAfterMillis, String detail) {}

  private static final class PendingRequest {
    private final EntryRequest request;
    private final boolean holdsPermit;
    private Optional<Route> route = Optional.empty();
    private Failure failure;
    private Optional<Failure> unknownOutcome = Optional.empty();
    private int attemptCount;
    private long lastRefusalNanos;
    private long totalDelayMillis;
    private boolean waiting;
    private boolean awaitingNewRoute;

    private PendingRequest(EntryRequest request, boolean holdsPermit) {
      this.request = request;
      this.holdsPermit = holdsPermit;
    }
  }

  private final String attemptPrefix;
  private final EntrySettings settings;
  private final LoadBalancer loadBalancer;
  private final RetryBudget retryBudget = new RetryBudget();
  private final AdmissionLimiter admissionLimiter = new AdmissionLimiter();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<String, PendingRequest> pendingByAttempt = new HashMap<>();
  private Optional<RoutingView> view = Optional.empty();
  private Optional<Long> lastUpToDateNanos = Optional.empty();
  private int waitingCount;
  private long lastDeadlineScanNanos;

  /**
   * Creates a router without a view; it refuses requests until {@link EntryEvent.ViewChanged}.
   *
   * @param instance this instance
   * @param session id of this process, part of attempt ids
   * @param zone availability zone of this instance
   * @param settings limits
   * @param seed seed of the random choice between targets
   */
  public EntryRouter(
      InstanceId instance,
      String session,
      AvailabilityZone zone,
      EntrySettings settings,
      long seed) {
    this.attemptPrefix = instance + "/" + session + "/";
    this.settings = settings;
    this.loadBalancer = new LoadBalancer(zone, seed);
  }

  /**
   * Applies an event.
   *
   * @param event the event
   * @return effects that the driver executes in this order
   */
  public List<EntryEffect> apply(EntryEvent event) {
    List<EntryEffect> out = new ArrayList<>(2);
    if (event instanceof EntryEvent.RequestArrived arrived) {
      requestArrived(arrived.nowNanos(), arrived.request(), out);
    } else if (event instanceof EntryEvent.ResponseEnded ended) {
      responseEnded(ended);
    } else if (event instanceof EntryEvent.AttemptRefused refused) {
      Failure failure = new Failure(refused.kind(), refused.retryAfterMillis(), refused.detail());
      attemptFailed(refused.nowNanos(), refused.requestId(), failure, out);
    } else if (event instanceof EntryEvent.ForwardFailed failed) {
      attemptFailed(failed.nowNanos(), failed.requestId(), forwardFailure(failed.written()), out);
    } else if (event instanceof EntryEvent.RetryDue due) {
      retryDue(due, out);
    } else if (event instanceof EntryEvent.CallerDisconnected disconnected) {
      cancel(disconnected.requestNumber(), out);
    } else if (event instanceof EntryEvent.ViewChanged changed) {
      viewChanged(changed.view());
    } else if (event instanceof EntryEvent.TokensRequested requested) {
      admissionLimiter.tokensRequested(requested).ifPresent(out::add);
    } else if (event instanceof EntryEvent.TokensGranted granted) {
      admissionLimiter.tokensGranted(granted);
    } else if (event instanceof EntryEvent.ControlContact contact) {
      lastUpToDateNanos = Optional.of(contact.upToDateNanos());
    } else {
      tick(event.nowNanos(), out);
    }
    return out;
  }

  private static Failure forwardFailure(boolean written) {
    String detail = "the connection to the dispatching instance failed";
    return new Failure(written ? ErrorKind.TARGET_FAILED : ErrorKind.NO_LEASE, 0, detail);
  }

  private void viewChanged(RoutingView newView) {
    if (view.isPresent() && newView.appliedIndex() < view.get().appliedIndex()) {
      return;
    }
    view = Optional.of(newView);
    admissionLimiter.viewChanged(
        newView.lists(), newView.instances().stream().map(InstanceSpec::id).toList());
  }

  private void requestArrived(long nowNanos, EntryRequest request, List<EntryEffect> out) {
    Optional<Failure> rejection = checkContact(nowNanos).or(() -> checkService(request));
    if (rejection.isPresent()) {
      out.add(refusal(request.requestNumber(), rejection.get()));
      return;
    }
    Optional<AdmissionLimiter.Refusal> refused =
        admissionLimiter.admit(nowNanos, request.customer(), request.service(), out);
    if (refused.isPresent()) {
      AdmissionLimiter.Refusal limitRefusal = refused.get();
      out.add(
          refusal(
              request.requestNumber(),
              new Failure(
                  limitRefusal.kind(), limitRefusal.retryAfterMillis(), limitRefusal.detail())));
      return;
    }
    retryBudget.recordFirstAttempt(nowNanos);
    PendingRequest pending = new PendingRequest(request, admissionLimiter.isLimiting());
    pendingRequests.put(request.requestNumber(), pending);
    route(nowNanos, pending, out);
  }

  /**
   * Returns a failure without recent contact with the control group, because outdated policy lists
   * may admit requests that the current ones refuse.
   */
  private Optional<Failure> checkContact(long nowNanos) {
    if (view.isEmpty()) {
      return Optional.of(
          new Failure(ErrorKind.NO_QUORUM, 0, "the instance has no control state yet"));
    }
    boolean hasRecentContact =
        lastUpToDateNanos
            .filter(upToDateNanos -> nowNanos - upToDateNanos < STALE_LISTS_NANOS)
            .isPresent();
    String detail = "no contact with the control group for 3 s";
    return hasRecentContact
        ? Optional.empty()
        : Optional.of(new Failure(ErrorKind.NO_LEASE, 0, detail));
  }

  private Optional<Failure> checkService(EntryRequest request) {
    Optional<ServiceSpec> service = view.get().service(request.service());
    if (service.isEmpty()) {
      return Optional.of(
          new Failure(ErrorKind.UNKNOWN_SERVICE, 0, "unknown service " + request.service()));
    }
    if (service.get().keyed() && request.key().isEmpty()) {
      String detail = "service " + request.service() + " requires the header Coltsfootwheel-Key";
      return Optional.of(new Failure(ErrorKind.INVALID_REQUEST, 0, detail));
    }
    return Optional.empty();
  }

  /** Forwards a request according to the current view, delays it or refuses it. */
  private void route(long nowNanos, PendingRequest pending, List<EntryEffect> out) {
    Optional<Route> found = findRoute(nowNanos, pending.request);
    boolean routeUnchanged =
        pending.awaitingNewRoute
            && found.equals(pending.route)
            && nowNanos - pending.lastRefusalNanos < SAME_ROUTE_RETRY_NANOS;
    if (found.isEmpty()) {
      pending.failure =
          new Failure(ErrorKind.NO_OWNER, 0, "no target with a dispatcher owns the key");
    }
    boolean mustWait = found.isEmpty() || routeUnchanged;
    if (!mustWait && (pending.attemptCount == 0 || retryBudget.tryAcquireRetry(nowNanos))) {
      forward(pending, found.get(), out);
    } else if (mustWait || pending.awaitingNewRoute) {
      delayOrRefuse(nowNanos, pending, WAIT_STEP_MILLIS, out);
    } else {
      refuse(pending, out);
    }
  }

  private void forward(PendingRequest pending, Route route, List<EntryEffect> out) {
    EntryRequest request = pending.request;
    pending.route = Optional.of(route);
    pending.attemptCount++;
    pending.awaitingNewRoute = false;
    stopWaiting(pending);
    pendingByAttempt.put(attemptId(pending), pending);
    loadBalancer.requestSent(route.target());
    DispatchRequest attempt =
        new DispatchRequest(
            attemptId(pending),
            request.service(),
            route.target(),
            route.hashSlot(),
            request.customer(),
            request.idempotent(),
            request.identity(),
            request.deadlineNanos(),
            route.grant().fence(),
            view.orElseThrow().appliedIndex());
    out.add(new EntryEffect.Forward(request.requestNumber(), route.grant().holder(), attempt));
  }

  private String attemptId(PendingRequest pending) {
    return attemptPrefix + pending.request.requestNumber() + "/" + pending.attemptCount;
  }

  private Optional<Route> findRoute(long nowNanos, EntryRequest request) {
    RoutingView currentView = view.orElseThrow();
    Optional<ServiceSpec> service = currentView.service(request.service());
    if (service.isEmpty()) {
      return Optional.empty();
    }
    if (service.get().keyed()) {
      int slot = HashSlots.of(request.key().orElseThrow(), service.get().hashSlots());
      return currentView
          .ownership(request.service(), slot)
          .map(SlotOwnership::owner)
          .flatMap(currentView::target)
          .flatMap(entry -> routeTo(entry, OptionalInt.of(slot)));
    }
    List<TargetEntry> candidates = new ArrayList<>();
    for (TargetEntry entry : currentView.targetsOf(request.service())) {
      if (entry.status() == TargetStatus.ACTIVE && entry.grant().isPresent()) {
        candidates.add(entry);
      }
    }
    return loadBalancer
        .choose(nowNanos, candidates)
        .flatMap(entry -> routeTo(entry, OptionalInt.empty()));
  }

  private static Optional<Route> routeTo(TargetEntry entry, OptionalInt hashSlot) {
    return entry.grant().map(grant -> new Route(entry.spec().id(), grant, hashSlot));
  }

  private void responseEnded(EntryEvent.ResponseEnded event) {
    PendingRequest pending = pendingByAttempt.remove(event.requestId());
    if (pending != null) {
      TargetId target = pending.route.orElseThrow().target();
      loadBalancer.requestEnded(target);
      loadBalancer.updateHint(event.nowNanos(), target, event.loadHint());
      finish(pending);
    }
  }

  private void attemptFailed(
      long nowNanos, String requestId, Failure failure, List<EntryEffect> out) {
    PendingRequest pending = pendingByAttempt.remove(requestId);
    if (pending == null) {
      return;
    }
    loadBalancer.requestEnded(pending.route.orElseThrow().target());
    pending.failure = failure;
    if (failure.kind().outcome() == Outcome.UNKNOWN) {
      pending.unknownOutcome = Optional.of(failure);
    }
    boolean retrySafe = failure.kind().outcome() == Outcome.NOT_RUN || pending.request.idempotent();
    if (!retrySafe || !RETRYABLE.contains(failure.kind())) {
      refuse(pending, out);
      return;
    }
    pending.lastRefusalNanos = nowNanos;
    pending.awaitingNewRoute = RESOLVED_BY_NEW_ROUTE.contains(failure.kind());
    delayOrRefuse(nowNanos, pending, Math.max(WAIT_STEP_MILLIS, failure.retryAfterMillis()), out);
  }

  /** Delays a request, or refuses it when the delay would exceed its deadline or a limit. */
  private void delayOrRefuse(
      long nowNanos, PendingRequest pending, long delayMillis, List<EntryEffect> out) {
    long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    boolean exceedsLimit =
        dueNanos - pending.request.deadlineNanos() >= 0
            || pending.totalDelayMillis + delayMillis > settings.maxWaitMillis();
    if (exceedsLimit || (!pending.waiting && waitingCount >= settings.maxWaitingRequests())) {
      refuse(pending, out);
      return;
    }
    if (!pending.waiting) {
      pending.waiting = true;
      waitingCount++;
    }
    pending.totalDelayMillis += delayMillis;
    out.add(new EntryEffect.Delay(pending.request.requestNumber(), delayMillis));
  }

  private void retryDue(EntryEvent.RetryDue due, List<EntryEffect> out) {
    PendingRequest pending = pendingRequests.get(due.requestNumber());
    if (pending != null && pending.waiting) {
      route(due.nowNanos(), pending, out);
    }
  }

  /** Removes a request and cancels its attempt in flight, if there is one. */
  private void cancel(long requestNumber, List<EntryEffect> out) {
    PendingRequest pending = pendingRequests.get(requestNumber);
    if (pending == null) {
      return;
    }
    String attempt = attemptId(pending);
    if (pendingByAttempt.remove(attempt) != null) {
      Route route = pending.route.orElseThrow();
      loadBalancer.requestEnded(route.target());
      out.add(new EntryEffect.CancelForward(route.grant().holder(), attempt));
    }
    finish(pending);
  }

  private void refuse(PendingRequest pending, List<EntryEffect> out) {
    // If an earlier attempt may have been executed, the outcome of the request is unknown, even
    // if the last attempt was not run.
    Failure failure = pending.unknownOutcome.orElse(pending.failure);
    out.add(refusal(pending.request.requestNumber(), failure));
    finish(pending);
  }

  private static EntryEffect refusal(long requestNumber, Failure failure) {
    return new EntryEffect.Refuse(
        requestNumber, failure.kind(), failure.retryAfterMillis(), failure.detail());
  }

  private void finish(PendingRequest pending) {
    stopWaiting(pending);
    pendingRequests.remove(pending.request.requestNumber());
    if (pending.holdsPermit) {
      admissionLimiter.release(pending.request.customer());
    }
  }

  private void stopWaiting(PendingRequest pending) {
    if (pending.waiting) {
      pending.waiting = false;
      waitingCount--;
    }
  }

  private void tick(long nowNanos, List<EntryEffect> out) {
    admissionLimiter.tick(nowNanos);
    if (nowNanos - lastDeadlineScanNanos < DEADLINE_SCAN_INTERVAL_NANOS) {
      return;
    }
    lastDeadlineScanNanos = nowNanos;
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      boolean overdue = nowNanos - pending.request.deadlineNanos() >= RESPONSE_GRACE_NANOS;
      if (overdue && !pending.waiting) {
        cancel(pending.request.requestNumber(), out);
        String detail = "the dispatching instance did not answer by the deadline";
        Failure failure = new Failure(ErrorKind.DEADLINE_EXCEEDED, 0, detail);
        out.add(refusal(pending.request.requestNumber(), failure));
      }
    }
  }
}
