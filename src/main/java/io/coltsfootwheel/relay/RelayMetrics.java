package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.TimeGauge;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
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
  private final Map<String, Timer> timerByOutcome = new HashMap<>();

  RelayMetrics(
      MeterRegistry meters,
      RoutingState routing,
      RoutingFreshness freshness,
      TargetConnections connections,
      EventLog log) {
    this.meters = meters;
    this.retries = meters.counter("coltsfootwheel.retries");
    Gauge.builder("coltsfootwheel.configuration.version", routing, r -> r.routes().version())
        .register(meters);
    registerAge("coltsfootwheel.routes.age", freshness, RoutingFreshness::configurationAgeMillis);
    registerAge("coltsfootwheel.owners.age", freshness, RoutingFreshness::ownershipAgeMillis);
    Gauge.builder("coltsfootwheel.entries", routing, RoutingState::entryCount).register(meters);
    Gauge.builder("coltsfootwheel.targets", routing, r -> r.targets().size()).register(meters);
    Gauge.builder("coltsfootwheel.targets.limited", routing, RoutingState::limitedTargetCount)
        .register(meters);
    FunctionCounter.builder(
            "coltsfootwheel.target.connections", connections, TargetConnections::openedCount)
        .register(meters);
    FunctionCounter.builder("coltsfootwheel.log.dropped", log, EventLog::dropped).register(meters);
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

  private Timer timer(String outcome) {
    return Timer.builder("coltsfootwheel.request")
        .tag("outcome", outcome)
        .serviceLevelObjectives(LATENCY_BUCKETS)
        .register(meters);
  }
}
