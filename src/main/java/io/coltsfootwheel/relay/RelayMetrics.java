package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.loadcontrol.PipelineBudget;
import io.coltsfootwheel.loadcontrol.SelectionStep;
import io.coltsfootwheel.loadcontrol.TransferPacer;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.TimeGauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.BaseUnits;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongBiFunction;

/** Metrics of an entry; all tags have a small, fixed set of values. */
final class RelayMetrics {
  private static final Duration[] LATENCY_BUCKETS = {
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(1_000),
    Duration.ofMillis(3_000)
  };

  private final MeterRegistry meters;
  private final Counter retries;
  private final Counter discarded;
  private final Counter stalledClients;
  private final Counter grantedPermits;
  private final Counter usedPermits;
  private final Counter latePermits;
  private final Map<String, Timer> timerByOutcome = new HashMap<>();

  RelayMetrics(
      MeterRegistry meters,
      RoutingState routing,
      RoutingFreshness freshness,
      TargetConnections connections,
      TargetChooser chooser,
      EventLog log) {
    this.meters = meters;
    this.retries = meters.counter("coltsfootwheel.retries");
    this.discarded = meters.counter("coltsfootwheel.requests.discarded");
    this.stalledClients = meters.counter("coltsfootwheel.clients.stalled");
    this.grantedPermits = meters.counter("coltsfootwheel.permits", "kind", "granted");
    this.usedPermits = meters.counter("coltsfootwheel.permits", "kind", "used");
    this.latePermits = meters.counter("coltsfootwheel.permits", "kind", "late");
    Gauge.builder("coltsfootwheel.targets.cold", routing, RoutingState::coldTargetCount)
        .register(meters);
    Gauge.builder("coltsfootwheel.configuration.version", routing, r -> r.routes().version())
        .register(meters);
    registerAge("coltsfootwheel.routes.age", freshness, RoutingFreshness::configurationAgeMillis);
    registerAge("coltsfootwheel.owners.age", freshness, RoutingFreshness::ownershipAgeMillis);
    Gauge.builder("coltsfootwheel.entries", routing, RoutingState::entryCount).register(meters);
    Gauge.builder("coltsfootwheel.targets", routing, r -> r.targets().size()).register(meters);
    Gauge.builder("coltsfootwheel.evacuated.zones", routing, r -> r.evacuatedZones().size())
        .register(meters);
    Gauge.builder("coltsfootwheel.targets.limited", routing, RoutingState::limitedTargetCount)
        .register(meters);
    FunctionCounter.builder(
            "coltsfootwheel.target.connections", connections, TargetConnections::openedCount)
        .register(meters);
    for (SelectionStep step : SelectionStep.values()) {
      FunctionCounter.builder(
              "coltsfootwheel.target.selections", chooser, c -> c.selectionCount(step))
          .tag("step", step.name().toLowerCase(Locale.ROOT))
          .register(meters);
    }
    FunctionCounter.builder("coltsfootwheel.target.withheld", chooser, TargetChooser::withheldCount)
        .register(meters);
    FunctionCounter.builder("coltsfootwheel.log.dropped", log, EventLog::dropped).register(meters);
  }

  /** Registers the gauges of clients, of pipelined requests and of the memory for input. */
  void registerClients(ClientBudgets budgets) {
    PipelineBudget budget = budgets.pipelines();
    BufferedBodyBudget bodies = budgets.bodies();
    Gauge.builder("coltsfootwheel.clients.open", budgets, b -> b.connections().openCount())
        .register(meters);
    FunctionCounter.builder(
            "coltsfootwheel.clients.displaced", budgets, b -> b.connections().closedCount())
        .register(meters);
    Gauge.builder("coltsfootwheel.heads", budgets, b -> b.heads().bytes())
        .baseUnit(BaseUnits.BYTES)
        .register(meters);
    Gauge.builder("coltsfootwheel.input", budgets, b -> b.input().totalBytes())
        .baseUnit(BaseUnits.BYTES)
        .register(meters);
    registerBodies("incomplete", bodies, BufferedBodyBudget::incompleteBytes);
    registerBodies("complete", bodies, BufferedBodyBudget::completeBytes);
    Gauge.builder("coltsfootwheel.pipeline.requests", budget, PipelineBudget::inProgress)
        .register(meters);
    Gauge.builder("coltsfootwheel.pipeline.waiting", budget, PipelineBudget::waitingBytes)
        .baseUnit(BaseUnits.BYTES)
        .register(meters);
  }

  /** Registers the gauge of the bodies that wait for the link. */
  void registerTransfers(TransferPacer pacer) {
    Gauge.builder("coltsfootwheel.bodies.paced", pacer, TransferPacer::waitingBytes)
        .baseUnit(BaseUnits.BYTES)
        .register(meters);
  }

  private void registerBodies(
      String state, BufferedBodyBudget bodies, ToDoubleFunction<BufferedBodyBudget> bytes) {
    Gauge.builder("coltsfootwheel.bodies", bodies, bytes)
        .tag("state", state)
        .baseUnit(BaseUnits.BYTES)
        .register(meters);
  }

  private void registerAge(
      String name, RoutingFreshness freshness, ToLongBiFunction<RoutingFreshness, Long> ageMillis) {
    TimeGauge.builder(
            name,
            freshness,
            TimeUnit.MILLISECONDS,
            f -> ageMillis.applyAsLong(f, System.nanoTime()))
        .register(meters);
  }

  /** Records the outcome of a request and the time since its processing began. */
  void recordOutcome(String outcome, long durationNanos) {
    timerByOutcome
        .computeIfAbsent(outcome, this::timer)
        .record(durationNanos, TimeUnit.NANOSECONDS);
  }

  void countRetry() {
    retries.increment();
  }

  void countDiscarded() {
    discarded.increment();
  }

  void countStalledClient() {
    stalledClients.increment();
  }

  /** Counts permits for cold targets that arrived in time to be used, or too late. */
  void countPermits(int count, boolean inTime) {
    (inTime ? grantedPermits : latePermits).increment(count);
  }

  void countUsedPermit() {
    usedPermits.increment();
  }

  private Timer timer(String outcome) {
    return Timer.builder("coltsfootwheel.request")
        .tag("outcome", outcome)
        .serviceLevelObjectives(LATENCY_BUCKETS)
        .register(meters);
  }
}
