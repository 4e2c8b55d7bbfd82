package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counters and latency histograms of an entry; label values are few and fixed. */
final class RelayMetrics {
  private static final Duration[] BOUNDS = {
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
      MeterRegistry meters, FleetRouting routing, TargetConnections connections, EventLog log) {
    this.meters = meters;
    this.retries = meters.counter("coltsfootwheel.retries");
    Gauge.builder("coltsfootwheel.configuration.version", routing, r -> r.routes().version())
        .register(meters);
    Gauge.builder("coltsfootwheel.entries", routing, FleetRouting::entries).register(meters);
    Gauge.builder("coltsfootwheel.targets", routing, r -> r.targets().size()).register(meters);
    FunctionCounter.builder(
            "coltsfootwheel.target.connections", connections, TargetConnections::opened)
        .register(meters);
    FunctionCounter.builder("coltsfootwheel.log.dropped", log, EventLog::dropped).register(meters);
  }

  /** Counts the end of a request with the time since it was read. */
  void ended(String outcome, long totalNanos) {
    timerByOutcome.computeIfAbsent(outcome, this::timer).record(totalNanos, TimeUnit.NANOSECONDS);
  }

  void retried() {
    retries.increment();
  }

  private Timer timer(String outcome) {
    return Timer.builder("coltsfootwheel.request")
        .tag("outcome", outcome)
        .serviceLevelObjectives(BOUNDS)
        .register(meters);
  }
}
