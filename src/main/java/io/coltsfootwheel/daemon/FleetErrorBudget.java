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

/** Gathers the counts of all instances for the burn report; each instance counts its own entry. */
final class FleetErrorBudget {
  private static final int[] WINDOWS_SECONDS = {300, 3_600, 21_600};
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final InstanceId self;
  private final Map<ServiceName, Objective> objectives;
  private final Supplier<ControlState> state;
  private final RequestRecorder recorder;
  private final BiConsumer<InstanceId, ControlMessage> sender;
  private final AtomicLong nextId = new AtomicLong(1);
  private final Map<Long, Gathering> gatherings = new ConcurrentHashMap<>();

  /** Answers to one request of an operator. */
  private record Gathering(
      Set<InstanceId> asked,
      Map<InstanceId, List<ErrorBudgetCounts>> answers,
      Sinks.One<Boolean> complete) {
    private void add(InstanceId from, List<ErrorBudgetCounts> counts) {
      answers.put(from, counts);
      if (answers.keySet().containsAll(asked)) {
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
   * Asks all instances for their counts.
   *
   * @return the sums over those that answered within 1 s, naming the others
   */
  Mono<OperatorApi.Burn> gather() {
    return Mono.defer(
        () -> {
          long id = nextId.getAndIncrement();
          Set<InstanceId> asked =
              state.get().instances().stream().map(InstanceSpec::id).collect(Collectors.toSet());
          Gathering gathering = new Gathering(asked, new ConcurrentSkipListMap<>(), Sinks.one());
          gatherings.put(id, gathering);
          asked.stream()
              .filter(i -> !i.equals(self))
              .forEach(i -> sender.accept(i, new ControlMessage.ErrorBudgetRequest(id)));
          gathering.add(self, ownCounts());
          return gathering
              .complete()
              .asMono()
              .timeout(ANSWER_TIMEOUT, Mono.just(false))
              .map(done -> report(gathering))
              .doFinally(signal -> gatherings.remove(id));
        });
  }

  /**
   * Takes a message of another instance.
   *
   * @param from the sender
   * @param message the message
   * @return true when the message concerned the counts
   */
  boolean receive(InstanceId from, ControlMessage message) {
    if (message instanceof ControlMessage.ErrorBudgetRequest request) {
      sender.accept(from, new ControlMessage.ErrorBudgetAnswer(request.requestId(), ownCounts()));
      return true;
    }
    if (message instanceof ControlMessage.ErrorBudgetAnswer answer) {
      Optional.ofNullable(gatherings.get(answer.requestId()))
          .ifPresent(gathering -> gathering.add(from, answer.counts()));
      return true;
    }
    return false;
  }

  private List<ErrorBudgetCounts> ownCounts() {
    List<ErrorBudgetCounts> counts = new ArrayList<>();
    for (ServiceSpec service : state.get().services()) {
      for (int seconds : WINDOWS_SECONDS) {
        counts.add(recorder.window(service.name(), seconds).counts(service.name(), seconds));
      }
    }
    return counts;
  }

  private OperatorApi.Burn report(Gathering gathering) {
    Map<InstanceId, List<ErrorBudgetCounts>> answers = new TreeMap<>(gathering.answers());
    return new OperatorApi.Burn(
        state.get().services().stream().map(s -> serviceBurn(s.name(), answers)).toList(),
        answers.keySet().stream().map(InstanceId::value).toList(),
        gathering.asked().stream()
            .filter(i -> !answers.containsKey(i))
            .map(InstanceId::value)
            .sorted()
            .toList());
  }

  private OperatorApi.ServiceBurn serviceBurn(
      ServiceName service, Map<InstanceId, List<ErrorBudgetCounts>> answers) {
    List<OperatorApi.BurnWindow> windows = new ArrayList<>();
    for (int seconds : WINDOWS_SECONDS) {
      ErrorBudgetWindow sum = new ErrorBudgetWindow();
      answers.values().stream()
          .flatMap(List::stream)
          .filter(c -> c.service().equals(service) && c.windowSeconds() == seconds)
          .forEach(sum::merge);
      windows.add(window(seconds, sum));
    }
    return new OperatorApi.ServiceBurn(
        service.value(),
        windows,
        Optional.ofNullable(objectives.get(service)).map(FleetErrorBudget::objectives));
  }

  private static OperatorApi.BurnWindow window(int seconds, ErrorBudgetWindow sum) {
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

  private static OperatorApi.Objectives objectives(Objective objective) {
    return new OperatorApi.Objectives(
        objective.answeredInTimeShare(),
        objective.inTimeMillis(),
        objective.unavailableSecondsPerDay(),
        objective.churnSlotsPerHour());
  }
}
