package io.coltsfootwheel.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.edge.OperatorRequest;
import io.coltsfootwheel.edge.OperatorResponse;
import io.coltsfootwheel.edge.OperatorRoute;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import io.coltsfootwheel.settings.DaemonSettings;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;

/** Routes of the HTTP interface for operators, which docs/OPERATOR-API.md describes. */
final class OperatorRoutes {
  private final DaemonSettings settings;
  private final Set<InstanceId> members;
  private final Supplier<ControlState> state;
  private final BooleanSupplier isReady;
  private final PendingAnswers answers;
  private final FleetErrorBudget errorBudget;
  private final PrometheusMeterRegistry meters;
  private final ObjectMapper json;

  OperatorRoutes(
      DaemonSettings settings,
      Supplier<ControlState> state,
      BooleanSupplier isReady,
      PendingAnswers answers,
      FleetErrorBudget errorBudget,
      PrometheusMeterRegistry meters,
      ObjectMapper json) {
    this.settings = settings;
    this.members =
        settings.controlMembers().stream()
            .map(member -> member.instance())
            .collect(Collectors.toSet());
    this.state = state;
    this.isReady = isReady;
    this.answers = answers;
    this.errorBudget = errorBudget;
    this.meters = meters;
    this.json = json;
  }

  /**
   * Returns the route table.
   *
   * @return the routes
   */
  List<OperatorRoute> routes() {
    return List.of(
        OperatorRoute.unauthenticated("/health", request -> ok(Map.of("status", "up"))),
        OperatorRoute.unauthenticated("/ready", request -> ready()),
        OperatorRoute.unauthenticated("/metrics", request -> ok(meters.scrape())),
        OperatorRoute.of(
            "GET", "/v1/status", request -> fleetView().map(view -> response(view.status()))),
        OperatorRoute.of("GET", "/v1/targets", request -> targets()),
        OperatorRoute.of("GET", "/v1/lists", request -> ok(lists())),
        OperatorRoute.of("POST", "/v1/lists", this::applyLists),
        OperatorRoute.of("GET", "/v1/lists/applied", this::listsApplied),
        OperatorRoute.of("POST", "/v1/targets/{id}/gone", this::declareGone),
        OperatorRoute.of("POST", "/v1/targets/{id}/drain", this::drain),
        OperatorRoute.of(
            "GET",
            "/v1/owner",
            request ->
                ok(
                    ownershipQueries()
                        .owner(required(request, "service"), required(request, "key")))),
        OperatorRoute.of("GET", "/v1/explain", this::explain),
        OperatorRoute.of("GET", "/v1/members", request -> members()),
        OperatorRoute.of("POST", "/v1/members/{id}/remove", this::removeMember),
        OperatorRoute.of(
            "GET", "/v1/burn", request -> errorBudget.queryFleet().map(OperatorRoutes::response)));
  }

  private Mono<OperatorResponse> ready() {
    boolean ready = isReady.getAsBoolean();
    return Mono.just(new OperatorResponse(ready ? 200 : 503, Map.of("ready", ready)));
  }

  private Mono<FleetView> fleetView() {
    return answers
        .report()
        .map(Optional::of)
        .onErrorReturn(Optional.empty())
        .map(
            report ->
                new FleetView(
                    settings.clusterName(), settings.instance(), members, state.get(), report));
  }

  private Mono<OperatorResponse> targets() {
    return fleetView().map(view -> response(new OperatorApi.Targets(view.targets())));
  }

  private OperatorApi.Lists lists() {
    var lists = state.get().lists();
    return new OperatorApi.Lists(lists.revision(), lists.plans(), lists.allowances());
  }

  private Mono<OperatorResponse> applyLists(OperatorRequest request) {
    OperatorApi.ListsChange change = read(request, OperatorApi.ListsChange.class);
    Command command =
        new Command.ApplyLists(
            change.changeId(), change.baseRevision(), change.plans(), change.allowances());
    return answers.propose(command).map(this::listsResponse);
  }

  private OperatorResponse listsResponse(CommandResult result) {
    if (result instanceof CommandResult.Accepted accepted) {
      return response(new OperatorApi.ListsAccepted(accepted.index()));
    }
    if (result instanceof CommandResult.Conflict) {
      return new OperatorResponse(ErrorKind.CONFLICT.httpStatus(), lists());
    }
    throw rejection(result);
  }

  private Mono<OperatorResponse> listsApplied(OperatorRequest request) {
    long revision = number(request, "revision");
    return answers
        .report()
        .map(
            report ->
                new FleetView(
                    settings.clusterName(),
                    settings.instance(),
                    members,
                    state.get(),
                    Optional.of(report)))
        .map(view -> response(view.listsApplied(revision)));
  }

  private Mono<OperatorResponse> declareGone(OperatorRequest request) {
    return changeStatus(request, TargetStatus.GONE, "declared gone by an operator");
  }

  private Mono<OperatorResponse> drain(OperatorRequest request) {
    return changeStatus(request, TargetStatus.DRAINING, "drained by an operator");
  }

  private Mono<OperatorResponse> changeStatus(
      OperatorRequest request, TargetStatus status, String reason) {
    TargetId id = TargetId.of(request.parameters().get("id"));
    return answers
        .propose(TargetChanges.statusChange(state.get(), id, status, reason))
        .map(result -> accepted(result, Map.of("target", id.value(), "status", status.name())));
  }

  private Mono<OperatorResponse> explain(OperatorRequest request) {
    return ok(
        request
            .queryValue("key")
            .map(key -> ownershipQueries().explainKey(required(request, "service"), key))
            .or(() -> request.queryValue("subject").map(ownershipQueries()::explainSubject))
            .orElseGet(ownershipQueries()::explainAll));
  }

  private OwnershipQueries ownershipQueries() {
    return new OwnershipQueries(state.get());
  }

  private Mono<OperatorResponse> members() {
    return answers.report().map(report -> response(members(report)));
  }

  private static OperatorApi.Members members(LeaderReport report) {
    return new OperatorApi.Members(
        report.leader().value(),
        report.term(),
        report.members().stream()
            .map(
                member ->
                    new OperatorApi.Member(
                        member.member().instance().value(),
                        member.member().diskId(),
                        member.voter(),
                        member.matchIndex(),
                        member.heard()))
            .toList());
  }

  private Mono<OperatorResponse> removeMember(OperatorRequest request) {
    InstanceId instance = InstanceId.of(request.parameters().get("id"));
    return answers
        .removeMember(instance)
        .map(result -> accepted(result, Map.of("removed", instance.value())));
  }

  private OperatorResponse accepted(CommandResult result, Object content) {
    if (result instanceof CommandResult.Accepted) {
      return response(content);
    }
    throw rejection(result);
  }

  private static ColtsfootwheelException rejection(CommandResult result) {
    return result instanceof CommandResult.Rejected rejected
        ? ColtsfootwheelException.of(rejected.kind(), rejected.detail())
        : ColtsfootwheelException.of(ErrorKind.CONFLICT, "the state has changed meanwhile");
  }

  private <T> T read(OperatorRequest request, Class<T> type) {
    try {
      return json.readValue(request.body(), type);
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_REQUEST, "the body is not a " + type.getSimpleName(), e);
    }
  }

  private static String required(OperatorRequest request, String name) {
    return request
        .queryValue(name)
        .orElseThrow(
            () ->
                ColtsfootwheelException.of(
                    ErrorKind.INVALID_REQUEST, "query parameter '" + name + "' is missing"));
  }

  private static long number(OperatorRequest request, String name) {
    String text = required(request, name);
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_REQUEST, name + " '" + text + "' is not an integer", e);
    }
  }

  private static OperatorResponse response(Object content) {
    return new OperatorResponse(200, content);
  }

  private static Mono<OperatorResponse> ok(Object content) {
    return Mono.just(response(content));
  }
}
