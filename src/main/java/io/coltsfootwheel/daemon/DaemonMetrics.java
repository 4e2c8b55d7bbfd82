package io.coltsfootwheel.daemon;

import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.link.LinkDirection;
import io.coltsfootwheel.link.LinkFailure;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.runtime.DecisionLoop;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Registers the metrics of an instance whose values are read at each scrape. */
final class DaemonMetrics {
  private final MeterRegistry meterRegistry;

  DaemonMetrics(MeterRegistry meterRegistry) {
    this.meterRegistry = meterRegistry;
  }

  /**
   * Registers the frames and bytes sent and received after the handshake, by frame kind and
   * direction, and the link failures by cause.
   */
  void bind(LinkTransport link) {
    for (FrameKind kind : FrameKind.values()) {
      for (LinkDirection direction : LinkDirection.values()) {
        registerTraffic("coltsfootwheel.link.frames", kind, direction, link::frameCount, link);
        registerTraffic("coltsfootwheel.link.bytes", kind, direction, link::byteCount, link);
      }
    }
    for (LinkFailure failure : LinkFailure.values()) {
      FunctionCounter.builder(
              "coltsfootwheel.link.failures", link, source -> source.failureCount(failure))
          .tag("cause", lowerCase(failure))
          .register(meterRegistry);
    }
  }

  /**
   * Registers the number of processed and of queued events, and the time that the decision thread
   * has spent on them.
   */
  void bind(DecisionLoop<?, ?> loop) {
    FunctionCounter.builder("coltsfootwheel.decision.events", loop, DecisionLoop::processedEvents)
        .register(meterRegistry);
    FunctionCounter.builder(
            "coltsfootwheel.decision.seconds",
            loop,
            source -> source.busyNanos() / (double) TimeUnit.SECONDS.toNanos(1))
        .register(meterRegistry);
    Gauge.builder("coltsfootwheel.decision.queue", loop, DecisionLoop::queuedEvents)
        .register(meterRegistry);
  }

  /** Registers a gauge and keeps a strong reference to its supplier. */
  void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(meterRegistry);
  }

  private interface TrafficCounter {
    long count(FrameKind kind, LinkDirection direction);
  }

  private void registerTraffic(
      String name,
      FrameKind kind,
      LinkDirection direction,
      TrafficCounter counter,
      LinkTransport link) {
    FunctionCounter.builder(name, link, source -> counter.count(kind, direction))
        .tags("kind", lowerCase(kind), "direction", lowerCase(direction))
        .register(meterRegistry);
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
