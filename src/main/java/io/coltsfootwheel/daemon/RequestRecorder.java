package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.edge.CallerRequest;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.settings.Objective;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts the requests that callers sent to this instance by result, for the error budget report and
 * the metrics.
 *
 * <p>A service counts as unavailable in each 100 ms slice in which a request was refused because
 * its key had no owner, its dispatcher had no lease, its dispatch fence was outdated, or its target
 * failed.
 */
final class RequestRecorder {
  private static final long INTERVAL_MILLIS = 10_000;
  private static final long RETAINED_INTERVALS = 6 * 360;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final long UNAVAILABLE_SLICE_MILLIS = 100;
  private static final Set<ErrorKind> UNAVAILABLE =
      EnumSet.of(
          ErrorKind.NO_OWNER, ErrorKind.NO_LEASE, ErrorKind.STALE_FENCE, ErrorKind.TARGET_FAILED);

  private static final ServiceName UNKNOWN = ServiceName.of("unknown");

  private final MeterRegistry meters;
  private final LongSupplier clockNanos;
  private final Map<ServiceName, Objective> objectives;
  private final Map<ServiceName, ServiceCounts> countsByService = new ConcurrentHashMap<>();

  /**
   * Counts of one service by interval number, and its meters.
   *
   * <p>The meters are stored here because each lookup in the registry would build a name and sorted
   * tags.
   */
  private static final class ServiceCounts {
    private final TreeMap<Long, ErrorBudgetWindow> windowByInterval = new TreeMap<>();
    private final Map<String, Counter> counterByResult = new ConcurrentHashMap<>();
    private final MeterRegistry meters;
    private final String service;
    private final Timer duration;
    private long lastUnavailableSlice = Long.MIN_VALUE;

    private ServiceCounts(MeterRegistry meters, ServiceName service) {
      this.meters = meters;
      this.service = service.value();
      this.duration = meters.timer("coltsfootwheel.request.duration", "service", this.service);
    }

    private void count(String result) {
      counterByResult.computeIfAbsent(result, this::counter).increment();
    }

    private Counter counter(String result) {
      return meters.counter("coltsfootwheel.requests", "service", service, "result", result);
    }

    private synchronized ErrorBudgetWindow windowOf(long interval) {
      windowByInterval.headMap(interval - RETAINED_INTERVALS).clear();
      return windowByInterval.computeIfAbsent(interval, i -> new ErrorBudgetWindow());
    }

    private synchronized void recordUnavailable(long interval, long slice) {
      if (slice != lastUnavailableSlice) {
        lastUnavailableSlice = slice;
        windowOf(interval).addUnavailable(UNAVAILABLE_SLICE_MILLIS);
      }
    }

    private synchronized ErrorBudgetWindow sumSince(long fromInterval) {
      ErrorBudgetWindow total = new ErrorBudgetWindow();
      windowByInterval.tailMap(fromInterval).values().forEach(total::addInterval);
      return total;
    }
  }

  RequestRecorder(
      MeterRegistry meters, LongSupplier clockNanos, Map<ServiceName, Objective> objectives) {
    this.meters = meters;
    this.clockNanos = clockNanos;
    this.objectives = Map.copyOf(objectives);
  }

  /**
   * Records a complete response of a target.
   *
   * @param request the request
   * @param target the target
   */
  void recordAnswered(CallerRequest request, TargetId target) {
    long elapsedNanos = clockNanos.getAsLong() - request.receivedNanos();
    boolean isLate = elapsedNanos > TimeUnit.MILLISECONDS.toNanos(inTimeMillis(request));
    ServiceCounts counts = counts(request.service());
    synchronized (counts) {
      counts.windowOf(interval()).addAnswered(target, isLate);
    }
    counts.count(isLate ? "late" : "answered");
    counts.duration.record(elapsedNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Records an error with which this router answered a request.
   *
   * @param request the request
   * @param kind kind of the error
   */
  void recordRefused(CallerRequest request, ErrorKind kind) {
    // Arbitrary service names in requests must not create counters without bound.
    ServiceName service = kind == ErrorKind.UNKNOWN_SERVICE ? UNKNOWN : request.service();
    ServiceCounts counts = counts(service);
    synchronized (counts) {
      ErrorBudgetWindow window = counts.windowOf(interval());
      if (kind.outcome() == Outcome.NOT_RUN && kind.httpStatus() < FIRST_SERVER_ERROR) {
        window.addRefused();
      } else if (kind.outcome() == Outcome.NOT_RUN) {
        window.addNotRun();
      } else {
        window.addUnknown();
      }
    }
    if (UNAVAILABLE.contains(kind)) {
      counts.recordUnavailable(interval(), nowMillis() / UNAVAILABLE_SLICE_MILLIS);
    }
    counts.count(kind.code());
  }

  /**
   * Records a request whose caller disconnected or whose response ended early.
   *
   * @param service the service
   */
  void recordLost(ServiceName service) {
    ServiceCounts counts = counts(service);
    synchronized (counts) {
      counts.windowOf(interval()).addLost();
    }
    counts.count("lost");
  }

  /**
   * Records the number of hash slots whose owner differs between two states.
   *
   * @param before the earlier state
   * @param after the later state
   */
  void recordOwnerChanges(ControlState before, ControlState after) {
    for (ServiceSpec service : after.services()) {
      long changedSlots = after.movedSlots(before, service.name());
      if (changedSlots > 0) {
        ServiceCounts counts = counts(service.name());
        synchronized (counts) {
          counts.windowOf(interval()).addChurn(changedSlots);
        }
      }
    }
  }

  /**
   * Returns the counts of a service over a window that ends now.
   *
   * @param service the service
   * @param windowSeconds length of the window
   * @return the sums
   */
  ErrorBudgetWindow window(ServiceName service, long windowSeconds) {
    long intervals = TimeUnit.SECONDS.toMillis(windowSeconds) / INTERVAL_MILLIS;
    return counts(service).sumSince(interval() - intervals + 1);
  }

  /**
   * Without an objective for the service, a response is in time until the deadline of the request.
   */
  private long inTimeMillis(CallerRequest request) {
    return Optional.ofNullable(objectives.get(request.service()))
        .map(objective -> (long) objective.inTimeMillis())
        .orElse(request.deadlineMillis());
  }

  private ServiceCounts counts(ServiceName service) {
    return countsByService.computeIfAbsent(service, s -> new ServiceCounts(meters, s));
  }

  private long interval() {
    return nowMillis() / INTERVAL_MILLIS;
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong());
  }
}
