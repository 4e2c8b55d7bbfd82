package io.coltsfootwheel.daemon;

import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.settings.Objective;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Collects the request counts of all instances for the error budget report of the command {@code
 * burn}.
 *
 * <p>Each instance counts only the requests that callers sent to it.
 */
final class FleetErrorBudget {
  private static final int[] WINDOW_LENGTHS_SECONDS = {300, 3_600, 21_600};
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final InstanceId self;
  private final Map<ServiceName, Objective> objectives;
  private final Supplier<ControlState> state;
  private final RequestRecorder recorder;
  private final BiConsumer<InstanceId, ControlMessage> sender;
  private final AtomicLong nextId = new AtomicLong(1);
  private final Map<Long, Query> queriesById = new ConcurrentHashMap<>();

  /** Query of all instances on behalf of one operator request, with the replies so far. */
  private record Query(
      Set<InstanceId> queried,
      Map<InstanceId, List<ErrorBudgetCounts>> countsByInstance,
      Sinks.One<Boolean> complete) {
    private void add(InstanceId from, List<ErrorBudgetCounts> counts) {
      countsByInstance.put(from, counts);
      if (countsByInstance.keySet().containsAll(queried)) {
        complete.tryEmitValue(true);
      }
    }
  }

  FleetErrorBudget(
      InstanceId self,
      Map<ServiceName, Objective> objectives,
      Supplier<ControlState> state,
      RequestRecorder recorder,
      BiConsumer<InstanceId, ControlMessage> sender) {
    this.self = self;
    this.objectives = Map.copyOf(objectives);
    this.state = state;
    this.recorder = recorder;
    this.sender = sender;
  }

  /**
   * Queries all instances for their counts.
   *
   * @return the sums over the instances that replied within 1 s, and the names of the others
   */
  Mono<OperatorApi.Burn> queryFleet() {
    return Mono.defer(
        () -> {
          long id = nextId.getAndIncrement();
          Set<InstanceId> queried =
              state.get().instances().stream().map(InstanceSpec::id).collect(Collectors.toSet());
          Query query = new Query(queried, new ConcurrentSkipListMap<>(), Sinks.one());
          queriesById.put(id, query);
          queried.stream()
              .filter(instance -> !instance.equals(self))
              .forEach(
                  instance -> sender.accept(instance, new ControlMessage.ErrorBudgetRequest(id)));
          query.add(self, localCounts());
          return query
              .complete()
              .asMono()
              .timeout(ANSWER_TIMEOUT, Mono.just(false))
              .map(isComplete -> report(query))
              .doFinally(signal -> queriesById.remove(id));
        });
  }

  /**
   * Handles a query or a reply of another instance.
   *
   * @param from the sender
   * @param message the message
   * @return false for a message of another kind, which is left to the caller
   */
  boolean receive(InstanceId from, ControlMessage message) {
    if (message instanceof ControlMessage.ErrorBudgetRequest request) {
      sender.accept(from, new ControlMessage.ErrorBudgetAnswer(request.requestId(), localCounts()));
      return true;
    }
    if (message instanceof ControlMessage.ErrorBudgetAnswer answer) {
      Optional.ofNullable(queriesById.get(answer.requestId()))
          .ifPresent(query -> query.add(from, answer.counts()));
      return true;
    }
    return false;
  }

  private List<ErrorBudgetCounts> localCounts() {
    List<ErrorBudgetCounts> counts = new ArrayList<>();
    for (ServiceSpec service : state.get().services()) {
      for (int seconds : WINDOW_LENGTHS_SECONDS) {
        counts.add(recorder.window(service.name(), seconds).toCounts(service.name(), seconds));
      }
    }
    return counts;
  }

  private OperatorApi.Burn report(Query query) {
    Map<InstanceId, List<ErrorBudgetCounts>> countsByInstance =
        new TreeMap<>(query.countsByInstance());
    return new OperatorApi.Burn(
        state.get().services().stream()
            .map(service -> serviceReport(service.name(), countsByInstance))
            .toList(),
        countsByInstance.keySet().stream().map(InstanceId::value).toList(),
        query.queried().stream()
            .filter(instance -> !countsByInstance.containsKey(instance))
            .map(InstanceId::value)
            .sorted()
            .toList());
  }

  private OperatorApi.ServiceBurn serviceReport(
      ServiceName service, Map<InstanceId, List<ErrorBudgetCounts>> countsByInstance) {
    List<OperatorApi.BurnWindow> windows = new ArrayList<>();
    for (int seconds : WINDOW_LENGTHS_SECONDS) {
      ErrorBudgetWindow sum = new ErrorBudgetWindow();
      countsByInstance.values().stream()
          .flatMap(List::stream)
          .filter(counts -> counts.service().equals(service) && counts.windowSeconds() == seconds)
          .forEach(sum::mergeInstance);
      windows.add(windowReport(seconds, sum));
    }
    return new OperatorApi.ServiceBurn(
        service.value(),
        windows,
        Optional.ofNullable(objectives.get(service)).map(FleetErrorBudget::objectivesReport));
  }

  private static OperatorApi.BurnWindow windowReport(int seconds, ErrorBudgetWindow sum) {
    return new OperatorApi.BurnWindow(
        seconds,
        sum.answered(),
        sum.late(),
        sum.lost(),
        sum.notRun(),
        sum.unknown(),
        sum.refused(),
        sum.imbalance(),
        sum.churnSlots(),
        sum.unavailableMillis());
  }

  private static OperatorApi.Objectives objectivesReport(Objective objective) {
    return new OperatorApi.Objectives(
        objective.answeredInTimeShare(),
        objective.inTimeMillis(),
        objective.unavailableSecondsPerDay(),
        objective.churnSlotsPerHour());
  }
}
