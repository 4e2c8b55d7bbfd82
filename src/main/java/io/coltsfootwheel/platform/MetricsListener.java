package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.listener.HttpListenerGuard;
import io.coltsfootwheel.listener.HttpListenerLimits;
import io.coltsfootwheel.model.Address;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;
import reactor.util.retry.Retry;

/**
 * HTTP server of a process for its metrics. The process serves without it: as long as the address
 * cannot be bound, it is tried again in the background.
 */
final class MetricsListener {
  private static final String PATH = "/metrics";
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  private final Address address;
  private final PrometheusMeterRegistry meters;
  private final LoopResources loops;
  private final EventLog log;
  private final HttpListenerGuard guard;
  private final AtomicBoolean hasFailed = new AtomicBoolean();
  private Optional<Disposable> binding = Optional.empty();

  MetricsListener(
      Address address,
      PrometheusMeterRegistry meters,
      LoopResources loops,
      EventLog log,
      HttpListenerLimits limits) {
    this.guard = new HttpListenerGuard(limits);
    this.address = address;
    this.meters = meters;
    this.loops = loops;
    this.log = log;
  }

  /** Starts to bind the address and returns at once. */
  void start() {
    binding =
        Optional.of(
            Mono.defer(() -> server().bind())
                .doOnError(this::logFirstFailure)
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, RETRY_INTERVAL))
                .subscribe(server -> logBound()));
  }

  /** Gives up an address that is not bound yet; a bound one closes with the event loops. */
  void stopBinding() {
    binding.ifPresent(Disposable::dispose);
  }

  private HttpServer server() {
    return guard
        .addTo(HttpServer.create())
        .runOn(loops, false)
        .host(address.host())
        .port(address.port())
        .route(
            routes ->
                routes.get(
                    PATH,
                    (request, response) ->
                        response
                            .header(HttpHeaderNames.CONTENT_TYPE, "text/plain")
                            .sendString(Mono.fromSupplier(meters::scrape))));
  }

  private void logFirstFailure(Throwable error) {
    if (!hasFailed.getAndSet(true)) {
      log.write(LogEvent.of("metrics.unavailable").with("address", address).with("error", error));
    }
  }

  private void logBound() {
    if (hasFailed.get()) {
      log.write(LogEvent.of("metrics.available").with("address", address));
    }
  }
}
