package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteTable;
import io.coltsfootwheel.routing.ServicePolicy;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Relays one client request: chooses a target, sends the request, retries where that is allowed,
 * and gives the client exactly one response. Confined to the relay's event loop.
 */
final class RelayExchange {
  /**
   * Time after the deadline during which a response is still accepted. A target responds by the
   * deadline at the latest, and its response shows whether the request was executed.
   */
  private static final long RESPONSE_GRACE_MILLIS = 60;

  /** Delay before a keyed request that its target rejected is routed again. */
  private static final long REJECTED_RETRY_DELAY_MILLIS = 25;

  /**
   * Longest wait for an ownership update after a target responded that it does not hold the key.
   */
  private static final long OWNERSHIP_WAIT_MILLIS = 60;

  private static final long MIN_RECHECK_MILLIS = 10;

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 300;
  private static final String STOPPING = "the entry is stopping";
  private static final String DEADLINE_PASSED = "deadline passed before the request could be sent";
  private static final String OUTDATED = "changes of routes and targets arrive too late";

  private final RelayContext context;
  private final RelayRequest request;
  private final Consumer<RelayResponse> responder;
  private final Set<TargetId> triedTargets = new HashSet<>();
  private final ExchangeTimers timers = new ExchangeTimers();
  private RouteTable routes;
  private Optional<Route> route = Optional.empty();
  private Optional<ServicePolicy> service = Optional.empty();
  private long deadlineNanos;

  /** Estimated time for which the client waited before this attempt. */
  private long clientWaitedMillis;

  private long routingWaitEndNanos;
  private boolean awaitsRouting;
  private boolean completed;
  private boolean mayHaveExecuted;
  private int sendCount;
  private Optional<TargetAttempt> attempt = Optional.empty();

  /** Cold target for which the request waits for a permit. */
  private Optional<TargetStats> awaitedTarget = Optional.empty();

  private Optional<TargetConnections.Call> call = Optional.empty();
  private String lastFailure = "";

  /** Target whose load caused the refusal, empty if the refusal had another cause. */
  private Optional<TargetStats> refusalTarget = Optional.empty();

  RelayExchange(RelayContext context, RelayRequest request, Consumer<RelayResponse> responder) {
    this.context = context;
    this.request = request;
    this.responder = responder;
    this.routes = request.routes();
    this.deadlineNanos =
        request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis().orElse(0));
  }

  void start() {
    if (context.refusesRequests()) {
      refuse(STOPPING, RetryAfter.ENTRY_STOPPING.millis());
      return;
    }
    if (!context.routing().isComplete()) {
      awaitFirstRouting();
      return;
    }
    if (context.freshness().isOutdated(System.nanoTime())) {
      if (awaitsRouting) {
        awaitFirstRouting();
      } else {
        refuse(OUTDATED, DEFAULT_RETRY_AFTER_MILLIS);
      }
      return;
    }
    routes = context.routing().routesOf(request);
    if (request.body().readableBytes() > routes.limits().maxBodyBytes()) {
      // Read before the first configuration was known.
      respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large", RetryAfter.NONE);
      return;
    }
    route = routes.find(request.host(), request.uri());
    if (route.isEmpty()) {
      refuseUnknownRoute();
      return;
    }
    ServiceName name = route.get().choose(context.nextRandom()).service();
    service = routes.service(name);
    if (service.isEmpty()) {
      refuse("service is not configured", DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    if (service.get().keyed() && request.key().isEmpty()) {
      respond(HttpResponseStatus.BAD_REQUEST, "the request has no valid key", RetryAfter.NONE);
      return;
    }
    awaitsRouting = false;
    routingWaitEndNanos = 0;
    long timeoutMillis =
        Math.min(
            request.deadlineMillis().orElse(route.get().timeoutMillis()),
            route.get().timeoutMillis());
    deadlineNanos = request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    if (remainingMillis() <= 0) {
      refuse(DEADLINE_PASSED, DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    timers.add(context.schedule(this::onDeadline, remainingMillis()));
    clientWaitedMillis =
        context
            .deadlineTracker()
            .waitedMillis(request.receivedNanos(), route.get().name(), request.deadlineMillis());
    recordDemand(name);
    decide();
  }

  private void recordDemand(ServiceName name) {
    context.retryBudget().recordRequest(request.receivedNanos(), name);
    context.priorityReserve().recordRequest(name, route.orElseThrow().priority());
    request.key().ifPresent(key -> context.countKey(name, key));
    if (!service.orElseThrow().keyed()) {
      context.permitDemand().recordUnkeyed(name);
    }
  }

  /**
   * Ends the exchange after the client disconnected. A call in progress is cancelled if its request
   * is idempotent; otherwise it continues and its response is discarded.
   */
  void clientDisconnected() {
    if (completed) {
      return;
    }
    completed = true;
    stopWaitingForPermit();
    context.removeExchange(this);
    if (call.isPresent() && isIdempotent()) {
      call.get().cancel();
      attempt.ifPresent(TargetAttempt::recordCancellation);
      call = Optional.empty();
    }
    if (call.isEmpty()) {
      context.releaseBody(request);
    }
    cancelTimers();
    log("client_left", "");
  }

  /**
   * Returns whether the request may be executed more than once. Without a route it is not known
   * while the request waits for the first routes, and does not matter once it is refused.
   */
  boolean isIdempotent() {
    return route.map(r -> r.kind().isIdempotent()).orElse(completed);
  }

  /** Decides again on a request that waits for a change of routes, targets or ownership. */
  void routingChanged() {
    if (!awaitsRouting || completed) {
      return;
    }
    if (service.isPresent()) {
      decide();
    } else {
      start();
    }
  }

  private void awaitFirstRouting() {
    long nowNanos = System.nanoTime();
    if (routingWaitEndNanos == 0) {
      // From the arrival: requests of one connection wait at the same time.
      long maxWaitMillis = StartupWait.maxWaitMillis(request.deadlineMillis());
      routingWaitEndNanos = request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(routingWaitEndNanos - nowNanos);
      context.schedule(this::routingChanged, Math.max(0, leftMillis) + 1);
    }
    awaitsRouting = nowNanos - routingWaitEndNanos < 0;
    if (!awaitsRouting) {
      refuse("no routing information yet", DEFAULT_RETRY_AFTER_MILLIS);
    }
  }

  /** Decides again on a request that waits for a permit to be sent to a cold target. */
  void permitsArrived() {
    if (awaitedTarget.isPresent()) {
      routingChanged();
    }
  }

  private void stopWaitingForPermit() {
    awaitedTarget.ifPresent(t -> t.permits().stopWaiting());
    awaitedTarget = Optional.empty();
  }

  /** Returns whether a target may be working on the request. */
  boolean isForwarded() {
    return call.isPresent() && call.get().isSent();
  }

  /** Refuses the request unless a target may be working on it. */
  void refuseUnlessForwarded() {
    if (completed || isForwarded()) {
      return;
    }
    call.ifPresent(TargetConnections.Call::cancel);
    call = Optional.empty();
    attempt.ifPresent(TargetAttempt::recordCancellation);
    attempt = Optional.empty();
    refuse(STOPPING, RetryAfter.ENTRY_STOPPING.millis());
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
  }

  private void decide() {
    if (completed) {
      return;
    }
    awaitsRouting = false;
    boolean awaitsPermit = awaitedTarget.isPresent();
    stopWaitingForPermit();
    long nowNanos = System.nanoTime();
    if (context.freshness().isOutdated(nowNanos)) {
      refuse(OUTDATED, DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    RequestConstraints constraints = constraints(nowNanos, awaitsPermit);
    RoutingDecision decision = choose(constraints);
    if (decision instanceof RoutingDecision.Send send) {
      send(send.target(), constraints.remainingMillis(), nowNanos);
    } else if (decision instanceof RoutingDecision.Wait wait) {
      awaitRouting(wait, nowNanos);
    } else if (decision instanceof RoutingDecision.Refuse refusal) {
      refusalTarget = refusal.target();
      refuse(refusal.reason(), refusal.retryAfterMillis());
    }
  }

  private RoutingDecision choose(RequestConstraints constraints) {
    return service.orElseThrow().keyed()
        ? context.chooser().chooseOwner(context.routing(), request.key().orElseThrow(), constraints)
        : context.chooser().chooseAny(context.routing(), triedTargets, constraints);
  }

  /** Returns what the choice of a target depends on; the time to send the body is left out. */
  private RequestConstraints constraints(long nowNanos, boolean awaitsPermit) {
    Route currentRoute = route.orElseThrow();
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - request.receivedNanos());
    long transferMillis = context.connections().millisToSend(request.body().readableBytes());
    return new RequestConstraints(
        service.orElseThrow().name(),
        currentRoute.kind(),
        currentRoute.priority(),
        nowNanos,
        remainingMillis() - transferMillis,
        currentRoute.targetLatencyMillis() - clientWaitedMillis - elapsedMillis - transferMillis,
        awaitsPermit,
        false);
  }

  private void awaitRouting(RoutingDecision.Wait wait, long nowNanos) {
    if (routingWaitEndNanos == 0) {
      routingWaitEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(wait.maxWaitMillis());
      context.schedule(this::routingChanged, wait.maxWaitMillis() + 1);
    }
    long remainingWaitMillis = TimeUnit.NANOSECONDS.toMillis(routingWaitEndNanos - nowNanos);
    if (remainingWaitMillis <= 0) {
      refuse(wait.reason(), DEFAULT_RETRY_AFTER_MILLIS);
      return;
    }
    awaitsRouting = true;
    awaitedTarget = wait.coldTarget();
    awaitedTarget.ifPresent(t -> t.permits().startWaiting());
  }

  private void send(TargetStats chosenTarget, long remainingMillis, long nowNanos) {
    triedTargets.add(chosenTarget.spec().id());
    sendCount++;
    if (sendCount > 1) {
      context.countRetry();
    }
    TargetAttempt newAttempt = new TargetAttempt(context, chosenTarget, nowNanos);
    attempt = Optional.of(newAttempt);
    int maxConnections =
        ConnectionShare.of(service.orElseThrow().maxConnections(), context.routing().entryCount());
    call =
        Optional.of(
            context
                .connections()
                .send(
                    chosenTarget.spec(),
                    maxConnections,
                    request.forTarget(
                        context.headerNames(), chosenTarget.spec().id(), remainingMillis),
                    request.id(),
                    new CallOutcome()));
    if (context.overload().handlesOverdueResponses()) {
      int send = sendCount;
      timers.add(
          context.schedule(() -> checkOverdue(send), newAttempt.millisUntilOverdue(nowNanos)));
    }
  }

  /**
   * Handles a response that is overdue. The request may have been executed, so it is sent again
   * only if it is idempotent; its connection is closed then. Otherwise it waits for its deadline,
   * since a late response is better than none, but no longer counts as in flight.
   */
  private void checkOverdue(int send) {
    if (send != sendCount || call.isEmpty() || attempt.orElseThrow().isOverdue()) {
      return;
    }
    long nowNanos = System.nanoTime();
    long missingMillis = attempt.get().millisUntilOverdue(nowNanos);
    if (missingMillis > 0 || !isForwarded()) {
      context.schedule(() -> checkOverdue(send), Math.max(MIN_RECHECK_MILLIS, missingMillis));
      return;
    }
    boolean isSentAgain = !completed && sendAgain(nowNanos);
    if (!isSentAgain) {
      attempt.get().recordOverdue(nowNanos);
    }
  }

  /** Gives the call up and sends the request again if that is allowed and possible now. */
  private boolean sendAgain(long nowNanos) {
    boolean mayBeSent =
        route.orElseThrow().kind().isIdempotent() && !context.freshness().isOutdated(nowNanos);
    if (!mayBeSent) {
      return false;
    }
    RequestConstraints constraints = constraints(nowNanos, false);
    if (!(choose(constraints) instanceof RoutingDecision.Send again) || !mayRetry(true)) {
      return false;
    }
    call.get().cancel();
    attempt.get().recordFailure(nowNanos, CallFailure.OVERDUE);
    mayHaveExecuted = true;
    lastFailure = "response is overdue";
    send(again.target(), constraints.remainingMillis(), nowNanos);
    return true;
  }

  /** Handles the outcome of the call in progress. */
  private final class CallOutcome implements CallListener {
    @Override
    public boolean maySend() {
      long nowNanos = System.nanoTime();
      return !completed
          && !context.freshness().isOutdated(nowNanos)
          && context.chooser().maySend(context.routing(), attempt.orElseThrow().target(), nowNanos)
          && attempt.get().isPermitted(nowNanos);
    }

    @Override
    public void onResponse(FullHttpResponse response, ResponseCheck check) {
      TargetAttempt ended = endCall();
      TargetStats calledTarget = ended.target();
      readNotices(ended, response, check);
      ended.recordResponse(
          System.nanoTime(), check, service.orElseThrow().name(), route.orElseThrow().priority());
      if (completed) {
        context.releaseBody(request);
        return;
      }
      switch (check) {
        case VALID -> forwardResponse(response);
        case NOT_EXECUTED -> retryRejected(calledTarget);
        case MISDIRECTED -> retryMisdirected();
        case INVALID -> retryFailed(CallFailure.GARBLED);
        default -> throw new IllegalStateException("unknown check");
      }
    }

    @Override
    public void onFailure(CallFailure failure) {
      endCall().recordFailure(System.nanoTime(), failure);
      if (completed) {
        context.releaseBody(request);
        return;
      }
      retryFailed(failure);
    }

    private void readNotices(TargetAttempt ended, FullHttpResponse response, ResponseCheck check) {
      TargetStats calledTarget = ended.target();
      calledTarget
          .notices(ended.incarnationMillis())
          .ifPresent(
              notices ->
                  context
                      .noticeReader()
                      .read(System.nanoTime(), calledTarget.spec().id(), notices, response, check));
      if (check == ResponseCheck.VALID || check == ResponseCheck.NOT_EXECUTED) {
        context.loadReader().read(calledTarget, response);
      }
    }

    private TargetAttempt endCall() {
      TargetAttempt ended = attempt.orElseThrow();
      attempt = Optional.empty();
      call = Optional.empty();
      return ended;
    }
  }

  private void retryRejected(TargetStats calledTarget) {
    lastFailure = "target rejected the request";
    boolean isKeyed = service.orElseThrow().keyed();
    long pauseMillis = calledTarget.remainingPauseMillis(System.nanoTime());
    boolean isOwnerPaused = isKeyed && pauseMillis > 0;
    if (!isOwnerPaused && mayRetry(false)) {
      context.schedule(this::decide, isKeyed ? REJECTED_RETRY_DELAY_MILLIS : 0);
      return;
    }
    long delayMillis =
        Math.max(DEFAULT_RETRY_AFTER_MILLIS / 3, calledTarget.expectedResponseMillis() / 2);
    refuse(lastFailure, isOwnerPaused ? Math.max(delayMillis, pauseMillis) : delayMillis);
  }

  private void retryMisdirected() {
    lastFailure = "target does not hold the key";
    if (mayRetry(false)) {
      awaitsRouting = true;
      context.schedule(this::routingChanged, OWNERSHIP_WAIT_MILLIS);
    } else {
      refuse(lastFailure, DEFAULT_RETRY_AFTER_MILLIS);
    }
  }

  private void retryFailed(CallFailure failure) {
    lastFailure = "connection to the target: " + failure.name().toLowerCase(Locale.ROOT);
    mayHaveExecuted |= failure.mayHaveExecuted();
    if (mayRetry(failure.mayHaveExecuted())) {
      decide();
    } else if (mayHaveExecuted) {
      respond(HttpResponseStatus.BAD_GATEWAY, lastFailure, RetryAfter.NONE);
    } else {
      refuse(lastFailure, DEFAULT_RETRY_AFTER_MILLIS);
    }
  }

  private boolean mayRetry(boolean callMayHaveExecuted) {
    ServicePolicy calledService = service.orElseThrow();
    return RetryPolicy.allows(
            route.orElseThrow(),
            calledService.keyed(),
            callMayHaveExecuted,
            triedTargets.size(),
            sendCount,
            remainingMillis())
        && context
            .retryBudget()
            .tryRetry(System.nanoTime(), calledService.name(), context.routing().entryCount());
  }

  private void onDeadline() {
    if (call.isPresent()) {
      context.schedule(this::onResponseTimeout, RESPONSE_GRACE_MILLIS);
    } else if (!completed && mayHaveExecuted) {
      respond(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline passed", RetryAfter.NONE);
    } else if (!completed) {
      refuse(DEADLINE_PASSED, DEFAULT_RETRY_AFTER_MILLIS);
    }
  }

  private void onResponseTimeout() {
    if (call.isEmpty()) {
      return;
    }
    call.get().cancel();
    call = Optional.empty();
    attempt.ifPresent(a -> a.recordFailure(System.nanoTime(), CallFailure.OVERDUE));
    if (completed) {
      context.releaseBody(request);
    } else {
      respond(HttpResponseStatus.GATEWAY_TIMEOUT, "target did not answer in time", RetryAfter.NONE);
    }
  }

  private void forwardResponse(FullHttpResponse response) {
    HttpHeaders headers = HopByHopHeaders.strippedCopy(response.headers());
    log("answered", response.status().toString());
    complete(new RelayResponse(response.status(), headers, response.content().retain()));
  }

  private void refuseUnknownRoute() {
    if (context.freshness().isConfigurationCurrent(System.nanoTime())) {
      respond(HttpResponseStatus.NOT_FOUND, "no route matches", RetryAfter.NONE);
    } else {
      refuse("no route matches, and newer routes may exist", DEFAULT_RETRY_AFTER_MILLIS);
    }
  }

  /**
   * Responds with 503, which states that the request was not executed. If an earlier attempt may
   * have executed it, responds with 502 instead, which states nothing about execution.
   */
  private void refuse(String reason, long retryAfterMillis) {
    if (mayHaveExecuted) {
      respond(HttpResponseStatus.BAD_GATEWAY, reason, RetryAfter.NONE);
    } else {
      respond(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, new RetryAfter(retryAfterMillis));
    }
  }

  private void respond(HttpResponseStatus status, String reason, RetryAfter retryAfter) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (!request.id().isEmpty()) {
      headers.set(context.headerNames().requestId(), request.id());
    }
    retryAfter.addTo(headers);
    log(
        status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code() ? "refused" : "failed",
        status.code() + " " + reason);
    complete(new RelayResponse(status, headers, Unpooled.EMPTY_BUFFER));
  }

  private void complete(RelayResponse response) {
    completed = true;
    stopWaitingForPermit();
    context.removeExchange(this);
    context.releaseBody(request);
    cancelTimers();
    responder.accept(response);
  }

  /** Cancels the timers unless they still watch a call whose response is discarded. */
  private void cancelTimers() {
    if (call.isEmpty()) {
      timers.cancelAll();
    }
  }

  /**
   * Records the outcome. Called before the response is written, so that its log event, if any, is
   * queued before the client receives the response.
   */
  private void log(String outcome, String detail) {
    long nowNanos = System.nanoTime();
    context.record(
        outcome,
        nowNanos - request.receivedNanos(),
        () ->
            LogEvent.of("request." + outcome)
                .with("request", request.id())
                .with("route", route.map(Route::name).orElse(""))
                .with("service", service.map(s -> s.name().value()).orElse(""))
                .with("key", request.key().isPresent() ? request.key().getAsInt() : -1)
                .with("targets", triedTargets)
                .with("sends", sendCount)
                .with("considered", refusalTarget.map(t -> t.spec().id().value()).orElse(""))
                .with("in_flight", refusalTarget.map(TargetStats::estimatedInFlight).orElse(0))
                .with("ms_per_request", refusalTarget.map(TargetStats::millisPerRequest).orElse(0))
                .with("limit", refusalTarget.map(t -> t.concurrencyLimit(nowNanos)).orElse(0))
                .with("detail", detail)
                .with("last_failure", lastFailure)
                .with("configuration", routes.version())
                .with("view_age_ms", context.leaderContactAgeMillis())
                .with("routes_age_ms", context.freshness().configurationAgeMillis(nowNanos))
                .with("owners_age_ms", context.freshness().ownershipAgeMillis(nowNanos))
                .with("total_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - request.receivedNanos()))
                .with("waited_before_ms", clientWaitedMillis)
                .with("left_ms", TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos)));
  }
}
