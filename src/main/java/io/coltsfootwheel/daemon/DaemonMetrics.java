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

/** Registers the metrics of an instance that are read from its parts at each scrape. */
final class DaemonMetrics {
  private final MeterRegistry meters;

  DaemonMetrics(MeterRegistry meters) {
    this.meters = meters;
  }

  /** Counts the traffic after the handshake, and the failures by cause. */
  void bind(LinkTransport link) {
    for (FrameKind kind : FrameKind.values()) {
      for (LinkDirection direction : LinkDirection.values()) {
        traffic("coltsfootwheel.link.frames", kind, direction, link::frameCount, link);
        traffic("coltsfootwheel.link.bytes", kind, direction, link::byteCount, link);
      }
    }
    for (LinkFailure failure : LinkFailure.values()) {
      FunctionCounter.builder("coltsfootwheel.link.failures", link, l -> l.failureCount(failure))
          .tag("cause", lower(failure))
          .register(meters);
    }
  }

  /** Counts events and the time that they take on the decision thread. */
  void bind(DecisionLoop<?, ?> loop) {
    FunctionCounter.builder("coltsfootwheel.decision.events", loop, DecisionLoop::processedEvents)
        .register(meters);
    FunctionCounter.builder(
            "coltsfootwheel.decision.seconds",
            loop,
            l -> l.busyNanos() / (double) TimeUnit.SECONDS.toNanos(1))
        .register(meters);
    Gauge.builder("coltsfootwheel.decision.queue", loop, DecisionLoop::queuedEvents)
        .register(meters);
  }

  /** Registers a gauge. */
  void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(meters);
  }

  private interface Reading {
    long read(FrameKind kind, LinkDirection direction);
  }

  private void traffic(
      String name, FrameKind kind, LinkDirection direction, Reading reading, LinkTransport link) {
    FunctionCounter.builder(name, link, l -> reading.read(kind, direction))
        .tags("kind", lower(kind), "direction", lower(direction))
        .register(meters);
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
