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
 * Routes callers' requests of one entry to the dispatchers of their targets.
 *
 * <p>A refusal as not run is retried within the budget and the deadline; an unknown outcome only
 * for idempotent requests. While a key has no owner or its dispatcher no lease, requests wait in
 * steps of {@value #STEP_MILLIS} ms, so that a handover or a loss of less than a second is bridged.
 * Usage: {@code router.apply(new EntryEvent.RequestArrived(now,
 * request)).forEach(driver::execute)}.
 */
public final class EntryRouter {
  private static final long STEP_MILLIS = 25;

  /** Time after which a route that was refused is tried again although the view is the same. */
  private static final long SAME_ROUTE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final long STALE_LISTS_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.STALE_LISTS_MILLIS);
  private static final long SCAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time after the deadline for the dispatcher's own answer, which says more. */
  private static final long ANSWER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final Set<ErrorKind> BRIDGED =
      Set.of(
          ErrorKind.NO_OWNER, ErrorKind.NO_LEASE, ErrorKind.STALE_FENCE, ErrorKind.SHUTTING_DOWN);
  private static final Set<ErrorKind> RETRIED =
      Set.of(
          ErrorKind.NO_OWNER,
          ErrorKind.NO_LEASE,
          ErrorKind.STALE_FENCE,
          ErrorKind.SHUTTING_DOWN,
          ErrorKind.TARGET_REFUSED,
          ErrorKind.OVERLOADED,
          ErrorKind.TARGET_FAILED);

  private record Route(TargetId target, DispatchGrant grant, OptionalInt hashSlot) {}

  private record Problem(ErrorKind kind, long retryAfterMillis, String detail) {}

  private static final class Pending {
    private final EntryRequest request;
    private final boolean holdsPermit;
    private Optional<Route> route = Optional.empty();
    private Problem problem;
    private Optional<Problem> unknown = Optional.empty();
    private int attempt;
    private long refusedNanos;
    private long waitedMillis;
    private boolean waiting;
    private boolean bridging;

    private Pending(EntryRequest request, boolean holdsPermit) {
      this.request = request;
      this.holdsPermit = holdsPermit;
    }
  }

  private final String attemptPrefix;
  private final EntrySettings settings;
  private final LoadBoard loads;
  private final RetryBudget budget = new RetryBudget();
  private final AdmissionLimiter limiter = new AdmissionLimiter();
  private final Map<Long, Pending> pendings = new HashMap<>();
  private final Map<String, Pending> attempts = new HashMap<>();
  private Optional<RoutingView> view = Optional.empty();
  private Optional<Long> contactNanos = Optional.empty();
  private int waiting;
  private long scannedNanos;

  /**
   * Creates a router without view.
   *
   * @param instance this instance
   * @param session session of its process
   * @param zone availability zone of this instance
   * @param settings limits
   * @param seed seed of the random choices between targets
   */
  public EntryRouter(
      InstanceId instance,
      String session,
      AvailabilityZone zone,
      EntrySettings settings,
      long seed) {
    this.attemptPrefix = instance + "/" + session + "/";
    this.settings = settings;
    this.loads = new LoadBoard(zone, seed);
  }

  /**
   * Applies an event.
   *
   * @param event the event
   * @return what the driver has to do, in order
   */
  public List<EntryEffect> apply(EntryEvent event) {
    List<EntryEffect> out = new ArrayList<>(2);
    if (event instanceof EntryEvent.RequestArrived arrived) {
      arrived(arrived.nowNanos(), arrived.request(), out);
    } else if (event instanceof EntryEvent.ResponseEnded ended) {
      ended(ended);
    } else if (event instanceof EntryEvent.AttemptRefused refused) {
      Problem problem = new Problem(refused.kind(), refused.retryAfterMillis(), refused.detail());
      attemptEnded(refused.nowNanos(), refused.requestId(), problem, out);
    } else if (event instanceof EntryEvent.ForwardFailed failed) {
      attemptEnded(failed.nowNanos(), failed.requestId(), forwardProblem(failed.written()), out);
    } else if (event instanceof EntryEvent.RetryDue due) {
      retryDue(due, out);
    } else if (event instanceof EntryEvent.CallerLeft left) {
      callerLeft(left.requestNumber(), out);
    } else if (event instanceof EntryEvent.ViewChanged changed) {
      viewChanged(changed.view());
    } else if (event instanceof EntryEvent.TokensRequested wanted) {
      limiter.tokensRequested(wanted).ifPresent(out::add);
    } else if (event instanceof EntryEvent.TokensGranted granted) {
      limiter.tokensGranted(granted);
    } else if (event instanceof EntryEvent.ControlContact contact) {
      contactNanos = Optional.of(contact.nowNanos());
    } else {
      tick(event.nowNanos(), out);
    }
    return out;
  }

  private static Problem forwardProblem(boolean written) {
    String detail = "the connection to the dispatching instance failed";
    return new Problem(written ? ErrorKind.TARGET_FAILED : ErrorKind.NO_LEASE, 0, detail);
  }

  private void viewChanged(RoutingView newView) {
    if (view.isPresent() && newView.appliedIndex() < view.get().appliedIndex()) {
      return;
    }
    view = Optional.of(newView);
    limiter.viewChanged(
        newView.lists(), newView.instances().stream().map(InstanceSpec::id).toList());
  }

  private void arrived(long nowNanos, EntryRequest request, List<EntryEffect> out) {
    Optional<Problem> invalid = checkContact(nowNanos).or(() -> checkService(request));
    if (invalid.isPresent()) {
      out.add(refusal(request.requestNumber(), invalid.get()));
      return;
    }
    Optional<AdmissionLimiter.Refusal> refused =
        limiter.admit(nowNanos, request.customer(), request.service(), out);
    if (refused.isPresent()) {
      AdmissionLimiter.Refusal r = refused.get();
      out.add(
          refusal(
              request.requestNumber(), new Problem(r.kind(), r.retryAfterMillis(), r.detail())));
      return;
    }
    budget.firstTry(nowNanos);
    Pending pending = new Pending(request, limiter.isLimiting());
    pendings.put(request.requestNumber(), pending);
    route(nowNanos, pending, out);
  }

  /** Old lists may allow what newer ones forbid, so they end with the contact. */
  private Optional<Problem> checkContact(long nowNanos) {
    if (view.isEmpty()) {
      return Optional.of(
          new Problem(ErrorKind.NO_QUORUM, 0, "the instance has no control state yet"));
    }
    boolean fresh = contactNanos.filter(c -> nowNanos - c < STALE_LISTS_NANOS).isPresent();
    String detail = "no contact with the control group for 3 s";
    return fresh ? Optional.empty() : Optional.of(new Problem(ErrorKind.NO_LEASE, 0, detail));
  }

  private Optional<Problem> checkService(EntryRequest request) {
    Optional<ServiceSpec> service = view.get().service(request.service());
    if (service.isEmpty()) {
      return Optional.of(new Problem(ErrorKind.UNKNOWN_SERVICE, 0, "service " + request.service()));
    }
    if (service.get().keyed() && request.key().isEmpty()) {
      String detail = "service " + request.service() + " requires the header Coltsfootwheel-Key";
      return Optional.of(new Problem(ErrorKind.INVALID_REQUEST, 0, detail));
    }
    return Optional.empty();
  }

  /** Forwards a request by the present view, or makes it wait. */
  private void route(long nowNanos, Pending pending, List<EntryEffect> out) {
    Optional<Route> found = findRoute(nowNanos, pending.request);
    boolean unchanged =
        pending.bridging
            && found.equals(pending.route)
            && nowNanos - pending.refusedNanos < SAME_ROUTE_NANOS;
    if (found.isEmpty()) {
      pending.problem =
          new Problem(ErrorKind.NO_OWNER, 0, "no target with a dispatcher owns the key");
    }
    boolean mustWait = found.isEmpty() || unchanged;
    if (!mustWait && (pending.attempt == 0 || budget.tryRetry(nowNanos))) {
      forward(pending, found.get(), out);
    } else if (mustWait || pending.bridging) {
      await(nowNanos, pending, STEP_MILLIS, out);
    } else {
      refuse(pending, out);
    }
  }

  private void forward(Pending pending, Route route, List<EntryEffect> out) {
    EntryRequest request = pending.request;
    pending.route = Optional.of(route);
    pending.attempt++;
    pending.bridging = false;
    stopWaiting(pending);
    attempts.put(attemptId(pending), pending);
    loads.sent(route.target());
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

  private String attemptId(Pending pending) {
    return attemptPrefix + pending.request.requestNumber() + "/" + pending.attempt;
  }

  private Optional<Route> findRoute(long nowNanos, EntryRequest request) {
    RoutingView present = view.orElseThrow();
    Optional<ServiceSpec> service = present.service(request.service());
    if (service.isEmpty()) {
      return Optional.empty();
    }
    if (service.get().keyed()) {
      int slot = HashSlots.of(request.key().orElseThrow(), service.get().hashSlots());
      return present
          .ownership(request.service(), slot)
          .map(SlotOwnership::owner)
          .flatMap(present::target)
          .flatMap(entry -> routeTo(entry, OptionalInt.of(slot)));
    }
    List<TargetEntry> candidates = new ArrayList<>();
    for (TargetEntry entry : present.targetsOf(request.service())) {
      if (entry.status() == TargetStatus.ACTIVE && entry.grant().isPresent()) {
        candidates.add(entry);
      }
    }
    return loads.choose(nowNanos, candidates).flatMap(e -> routeTo(e, OptionalInt.empty()));
  }

  private static Optional<Route> routeTo(TargetEntry entry, OptionalInt hashSlot) {
    return entry.grant().map(grant -> new Route(entry.spec().id(), grant, hashSlot));
  }

  private void ended(EntryEvent.ResponseEnded event) {
    Pending pending = attempts.remove(event.requestId());
    if (pending != null) {
      TargetId target = pending.route.orElseThrow().target();
      loads.returned(target);
      loads.hint(event.nowNanos(), target, event.loadHint());
      finish(pending);
    }
  }

  private void attemptEnded(
      long nowNanos, String requestId, Problem problem, List<EntryEffect> out) {
    Pending pending = attempts.remove(requestId);
    if (pending == null) {
      return;
    }
    loads.returned(pending.route.orElseThrow().target());
    pending.problem = problem;
    if (problem.kind().outcome() == Outcome.UNKNOWN) {
      pending.unknown = Optional.of(problem);
    }
    boolean safe = problem.kind().outcome() == Outcome.NOT_RUN || pending.request.idempotent();
    if (!safe || !RETRIED.contains(problem.kind())) {
      refuse(pending, out);
      return;
    }
    pending.refusedNanos = nowNanos;
    pending.bridging = BRIDGED.contains(problem.kind());
    await(nowNanos, pending, Math.max(STEP_MILLIS, problem.retryAfterMillis()), out);
  }

  /** Delays a request, or refuses it when it may not wait so long. */
  private void await(long nowNanos, Pending pending, long delayMillis, List<EntryEffect> out) {
    long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    boolean tooLong =
        dueNanos - pending.request.deadlineNanos() >= 0
            || pending.waitedMillis + delayMillis > settings.bridgeMillis();
    if (tooLong || (!pending.waiting && waiting >= settings.maxWaiting())) {
      refuse(pending, out);
      return;
    }
    if (!pending.waiting) {
      pending.waiting = true;
      waiting++;
    }
    pending.waitedMillis += delayMillis;
    out.add(new EntryEffect.Delay(pending.request.requestNumber(), delayMillis));
  }

  private void retryDue(EntryEvent.RetryDue due, List<EntryEffect> out) {
    Pending pending = pendings.get(due.requestNumber());
    if (pending != null && pending.waiting) {
      route(due.nowNanos(), pending, out);
    }
  }

  private void callerLeft(long requestNumber, List<EntryEffect> out) {
    Pending pending = pendings.get(requestNumber);
    if (pending == null) {
      return;
    }
    String attempt = attemptId(pending);
    if (attempts.remove(attempt) != null) {
      Route route = pending.route.orElseThrow();
      loads.returned(route.target());
      out.add(new EntryEffect.CancelForward(route.grant().holder(), attempt));
    }
    finish(pending);
  }

  private void refuse(Pending pending, List<EntryEffect> out) {
    // An earlier attempt that may have run outweighs a later one that was not.
    Problem problem = pending.unknown.orElse(pending.problem);
    out.add(refusal(pending.request.requestNumber(), problem));
    finish(pending);
  }

  private static EntryEffect refusal(long requestNumber, Problem problem) {
    return new EntryEffect.Refuse(
        requestNumber, problem.kind(), problem.retryAfterMillis(), problem.detail());
  }

  private void finish(Pending pending) {
    stopWaiting(pending);
    pendings.remove(pending.request.requestNumber());
    if (pending.holdsPermit) {
      limiter.released(pending.request.customer());
    }
  }

  private void stopWaiting(Pending pending) {
    if (pending.waiting) {
      pending.waiting = false;
      waiting--;
    }
  }

  private void tick(long nowNanos, List<EntryEffect> out) {
    limiter.tick(nowNanos);
    if (nowNanos - scannedNanos < SCAN_INTERVAL_NANOS) {
      return;
    }
    scannedNanos = nowNanos;
    for (Pending pending : List.copyOf(pendings.values())) {
      boolean late = nowNanos - pending.request.deadlineNanos() >= ANSWER_GRACE_NANOS;
      if (late && !pending.waiting) {
        callerLeft(pending.request.requestNumber(), out);
        String detail = "the dispatching instance did not answer by the deadline";
        Problem problem = new Problem(ErrorKind.DEADLINE_EXCEEDED, 0, detail);
        out.add(refusal(pending.request.requestNumber(), problem));
      }
    }
  }
}
