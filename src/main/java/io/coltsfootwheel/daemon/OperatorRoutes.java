package io.coltsfootwheel.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.Explanation;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.dispatch.HashSlots;
import io.coltsfootwheel.edge.OperatorRequest;
import io.coltsfootwheel.edge.OperatorResponse;
import io.coltsfootwheel.edge.OperatorRoute;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import io.coltsfootwheel.settings.DaemonSettings;
import io.coltsfootwheel.settings.Objective;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;

/** Routes of the operators' HTTP interface; docs/OPERATOR-API.md describes them. */
final class OperatorRoutes {
  private static final int[] BURN_WINDOWS_SECONDS = {300, 3_600, 21_600};

  private final DaemonSettings settings;
  private final Set<InstanceId> members;
  private final Supplier<ControlState> state;
  private final BooleanSupplier isReady;
  private final PendingAnswers answers;
  private final RequestRecorder recorder;
  private final PrometheusMeterRegistry meters;
  private final ObjectMapper json;

  OperatorRoutes(
      DaemonSettings settings,
      Supplier<ControlState> state,
      BooleanSupplier isReady,
      PendingAnswers answers,
      RequestRecorder recorder,
      PrometheusMeterRegistry meters,
      ObjectMapper json) {
    this.settings = settings;
    this.members =
        settings.controlMembers().stream().map(m -> m.instance()).collect(Collectors.toSet());
    this.state = state;
    this.isReady = isReady;
    this.answers = answers;
    this.recorder = recorder;
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
        OperatorRoute.open("/health", request -> ok(Map.of("status", "up"))),
        OperatorRoute.open("/ready", request -> ready()),
        OperatorRoute.open("/metrics", request -> ok(meters.scrape())),
        OperatorRoute.of("GET", "/v1/status", request -> view().map(v -> response(v.status()))),
        OperatorRoute.of("GET", "/v1/targets", request -> targets()),
        OperatorRoute.of("GET", "/v1/lists", request -> ok(lists())),
        OperatorRoute.of("POST", "/v1/lists", this::applyLists),
        OperatorRoute.of("GET", "/v1/lists/applied", this::listsApplied),
        OperatorRoute.of("POST", "/v1/targets/{id}/gone", this::declareGone),
        OperatorRoute.of("POST", "/v1/targets/{id}/drain", this::drain),
        OperatorRoute.of("GET", "/v1/owner", this::owner),
        OperatorRoute.of("GET", "/v1/explain", this::explain),
        OperatorRoute.of("GET", "/v1/members", request -> members()),
        OperatorRoute.of("GET", "/v1/burn", request -> ok(burn())));
  }

  private Mono<OperatorResponse> ready() {
    boolean ready = isReady.getAsBoolean();
    return Mono.just(new OperatorResponse(ready ? 200 : 503, Map.of("ready", ready)));
  }

  private Mono<FleetView> view() {
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
    return view().map(v -> response(new OperatorApi.Targets(v.targets())));
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
    long revision = Long.parseLong(required(request, "revision"));
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
        .map(v -> response(v.listsApplied(revision)));
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
        .propose(TargetChanges.status(state.get(), id, status, reason))
        .map(result -> accepted(result, Map.of("target", id.value(), "status", status.name())));
  }

  private Mono<OperatorResponse> owner(OperatorRequest request) {
    ServiceName name = ServiceName.of(required(request, "service"));
    String key = required(request, "key");
    ControlState present = state.get();
    ServiceSpec service =
        present
            .service(name)
            .filter(ServiceSpec::keyed)
            .orElseThrow(
                () ->
                    ColtsfootwheelException.of(
                        ErrorKind.UNKNOWN_SERVICE, name + " is not a keyed service"));
    int slot = HashSlots.of(key.getBytes(StandardCharsets.UTF_8), service.hashSlots());
    Optional<SlotOwnership> ownership = present.ownership(name, slot);
    Optional<DispatchGrant> grant =
        ownership.flatMap(o -> present.target(o.owner())).flatMap(TargetEntry::grant);
    return ok(
        new OperatorApi.Owner(
            name.value(),
            slot,
            ownership.map(o -> o.owner().value()).orElse(""),
            ownership.map(o -> o.fence().value()).orElse(0L),
            grant.map(g -> g.holder().value()).orElse("")));
  }

  private Mono<OperatorResponse> explain(OperatorRequest request) {
    ControlState present = state.get();
    List<Explanation> found = new ArrayList<>();
    request
        .queryValue("subject")
        .ifPresent(
            subject -> {
              found.addAll(present.explainTarget(TargetId.of(subject)));
              found.addAll(present.explainInstance(InstanceId.of(subject)));
            });
    request
        .queryValue("key")
        .ifPresent(
            key -> {
              ServiceName name = ServiceName.of(required(request, "service"));
              present
                  .service(name)
                  .filter(ServiceSpec::keyed)
                  .ifPresent(
                      service ->
                          found.addAll(
                              present.explainSlot(
                                  name,
                                  HashSlots.of(
                                      key.getBytes(StandardCharsets.UTF_8), service.hashSlots()))));
            });
    return ok(
        new OperatorApi.Explanation(
            found.stream()
                .map(
                    e ->
                        new OperatorApi.ExplanationLine(e.index(), e.subject() + ": " + e.reason()))
                .toList()));
  }

  private Mono<OperatorResponse> members() {
    return answers
        .report()
        .map(
            report ->
                response(
                    new OperatorApi.Members(
                        report.leader().value(),
                        report.term(),
                        report.members().stream().map(OperatorRoutes::member).toList())));
  }

  private static OperatorApi.Member member(LeaderReport.ReportedMember member) {
    return new OperatorApi.Member(
        member.id().instance().value(), member.id().diskId(), member.voter(), member.matchIndex());
  }

  private OperatorApi.Burn burn() {
    return new OperatorApi.Burn(
        state.get().services().stream().map(ServiceSpec::name).map(this::serviceBurn).toList());
  }

  private OperatorApi.ServiceBurn serviceBurn(ServiceName service) {
    List<OperatorApi.BurnWindow> windows = new ArrayList<>();
    for (int seconds : BURN_WINDOWS_SECONDS) {
      BurnWindow w = recorder.window(service, seconds);
      windows.add(
          new OperatorApi.BurnWindow(
              seconds,
              w.answered(),
              w.late(),
              w.lost(),
              w.notRun(),
              w.unknown(),
              w.imbalance(),
              w.churnSlots(),
              w.unavailableMillis()));
    }
    Optional<Objective> objective = Optional.ofNullable(settings.objectives().get(service));
    return new OperatorApi.ServiceBurn(
        service.value(),
        windows,
        objective.map(
            o ->
                new OperatorApi.Objectives(
                    o.answeredInTimeShare(),
                    o.inTimeMillis(),
                    o.unavailableSecondsPerDay(),
                    o.churnSlotsPerHour())));
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

  private static OperatorResponse response(Object content) {
    return new OperatorResponse(200, content);
  }

  private static Mono<OperatorResponse> ok(Object content) {
    return Mono.just(response(content));
  }
}
