package io.coltsfootwheel.relay;

import io.coltsfootwheel.api.RoutePreview;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WeightedService;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Decides on a request without sending it, for operators. Confined to the relay's event loop.
 *
 * <p>Usage: {@code new RoutePreviewer(context).preview(nowNanos, host, path, key)}.
 */
final class RoutePreviewer {
  /** Limits the size of the answer for a service with many targets. */
  private static final int MAX_TARGETS = 50;

  private static final String IN_TIME = "the response is expected in time";

  private final RelayContext context;

  RoutePreviewer(RelayContext context) {
    this.context = context;
  }

  /**
   * Returns the decision on a request.
   *
   * @param nowNanos monotonic time
   * @param host value of its Host header
   * @param path its path
   * @param key its key, empty when it has none
   */
  RoutePreview preview(long nowNanos, String host, String path, OptionalInt key) {
    Optional<Route> route = context.routing().routes().find(host, path);
    List<RoutePreview.ServicePreview> services =
        route.stream()
            .flatMap(r -> r.services().stream().map(s -> preview(nowNanos, r, s, key)))
            .toList();
    return new RoutePreview(
        route.map(Route::name).orElse(""),
        reason(nowNanos, route),
        context.freshness().configurationAgeMillis(nowNanos),
        context.freshness().ownershipAgeMillis(nowNanos),
        services);
  }

  private String reason(long nowNanos, Optional<Route> route) {
    if (context.refusesRequests()) {
      return "the entry is stopping";
    }
    if (!context.routing().isComplete()) {
      return "the entry has no routing information yet";
    }
    if (context.freshness().isOutdated(nowNanos)) {
      return "changes of routes and targets arrive too late";
    }
    return route.isEmpty() ? "no route matches" : "";
  }

  private RoutePreview.ServicePreview preview(
      long nowNanos, Route route, WeightedService weighted, OptionalInt key) {
    ServiceName name = weighted.service();
    Optional<ServicePolicy> service = context.routing().routes().service(name);
    if (service.isEmpty()) {
      return refused(weighted, "service is not configured");
    }
    if (service.get().keyed() && key.isEmpty()) {
      return refused(weighted, "the request has no valid key");
    }
    RequestConstraints constraints = constraints(nowNanos, route, name);
    RoutingDecision decision =
        service.get().keyed()
            ? context.chooser().chooseOwner(context.routing(), key.getAsInt(), constraints)
            : context.chooser().chooseAny(context.routing(), Set.of(), constraints);
    return describe(weighted, decision, considered(nowNanos, service.get(), key));
  }

  private static RequestConstraints constraints(long nowNanos, Route route, ServiceName service) {
    return new RequestConstraints(
        service,
        route.kind(),
        route.priority(),
        nowNanos,
        route.timeoutMillis(),
        route.targetLatencyMillis(),
        false,
        true);
  }

  private static RoutePreview.ServicePreview refused(WeightedService service, String reason) {
    return new RoutePreview.ServicePreview(
        service.service().value(),
        service.weight(),
        RoutePreview.Decision.REFUSE,
        "",
        reason,
        0,
        List.of());
  }

  private static RoutePreview.ServicePreview describe(
      WeightedService service,
      RoutingDecision decision,
      List<RoutePreview.TargetPreview> considered) {
    if (decision instanceof RoutingDecision.Send send) {
      return new RoutePreview.ServicePreview(
          service.service().value(),
          service.weight(),
          RoutePreview.Decision.SEND,
          send.target().spec().id().value(),
          IN_TIME,
          0,
          considered);
    }
    if (decision instanceof RoutingDecision.Wait wait) {
      return new RoutePreview.ServicePreview(
          service.service().value(),
          service.weight(),
          RoutePreview.Decision.WAIT,
          wait.coldTarget().map(t -> t.spec().id().value()).orElse(""),
          wait.reason(),
          wait.maxWaitMillis(),
          considered);
    }
    RoutingDecision.Refuse refusal = (RoutingDecision.Refuse) decision;
    return new RoutePreview.ServicePreview(
        service.service().value(),
        service.weight(),
        RoutePreview.Decision.REFUSE,
        "",
        refusal.reason(),
        refusal.retryAfterMillis(),
        considered);
  }

  /** Returns the owner of the key, or the targets of an unkeyed service, the fastest ones first. */
  private List<RoutePreview.TargetPreview> considered(
      long nowNanos, ServicePolicy service, OptionalInt key) {
    if (service.keyed()) {
      return context.routing().rangeOf(service.name(), key.getAsInt()).stream()
          .flatMap(range -> describe(nowNanos, range.owner()).stream())
          .toList();
    }
    return context.routing().targetsOf(service.name()).stream()
        .sorted(Comparator.comparingLong(TargetStats::expectedResponseMillis))
        .limit(MAX_TARGETS)
        .map(t -> describe(nowNanos, t))
        .toList();
  }

  private Optional<RoutePreview.TargetPreview> describe(long nowNanos, TargetId id) {
    return context.routing().target(id).map(t -> describe(nowNanos, t));
  }

  private static RoutePreview.TargetPreview describe(long nowNanos, TargetStats target) {
    return new RoutePreview.TargetPreview(
        target.spec().id().value(),
        target.spec().zone().value(),
        state(nowNanos, target),
        target.estimatedInFlight(),
        target.concurrencyLimit(nowNanos),
        target.millisPerRequest(),
        target.expectedResponseMillis());
  }

  private static String state(long nowNanos, TargetStats target) {
    if (target.isEvacuated()) {
      return "zone is evacuated";
    }
    if (target.isLeaving()) {
      return "leaving";
    }
    if (target.remainingPauseMillis(nowNanos) > 0) {
      return "wants no requests";
    }
    if (target.isSuspect(nowNanos)) {
      return "does not answer";
    }
    return target.isCold() ? "cold" : "ready";
  }
}
