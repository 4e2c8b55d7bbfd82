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
 * Counts each request of this entry as answered, late or lost, for the burn report and the metrics.
 *
 * <p>A service counts as unavailable in each slice of 100 ms in which a request was refused because
 * its key had no owner, no lease or no reachable target.
 */
final class RequestRecorder {
  private static final long INTERVAL_MILLIS = 10_000;
  private static final long RETAINED_INTERVALS = 6 * 360;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final long SLICE_MILLIS = 100;
  private static final Set<ErrorKind> UNAVAILABLE =
      EnumSet.of(
          ErrorKind.NO_OWNER, ErrorKind.NO_LEASE, ErrorKind.STALE_FENCE, ErrorKind.TARGET_FAILED);

  private static final ServiceName UNKNOWN = ServiceName.of("unknown");

  private final MeterRegistry meters;
  private final LongSupplier clockNanos;
  private final Map<ServiceName, Objective> objectives;
  private final Map<ServiceName, ServiceCounts> countsByService = new ConcurrentHashMap<>();

  /**
   * Intervals of one service by their number, and its meters.
   *
   * <p>The meters are kept because a lookup in the registry builds a name and sorted tags each
   * time.
   */
  private static final class ServiceCounts {
    private final TreeMap<Long, ErrorBudgetWindow> windows = new TreeMap<>();
    private final Map<String, Counter> counterByResult = new ConcurrentHashMap<>();
    private final MeterRegistry meters;
    private final String service;
    private final Timer duration;
    private long unavailableSlice = Long.MIN_VALUE;

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

    private synchronized ErrorBudgetWindow at(long interval) {
      windows.headMap(interval - RETAINED_INTERVALS).clear();
      return windows.computeIfAbsent(interval, i -> new ErrorBudgetWindow());
    }

    private synchronized void unavailable(long interval, long slice) {
      if (slice != unavailableSlice) {
        unavailableSlice = slice;
        at(interval).addUnavailable(SLICE_MILLIS);
      }
    }

    private synchronized ErrorBudgetWindow sum(long fromInterval) {
      ErrorBudgetWindow total = new ErrorBudgetWindow();
      windows.tailMap(fromInterval).values().forEach(total::add);
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
   * Counts a complete response of a target.
   *
   * @param request the request
   * @param target the target
   */
  void answered(CallerRequest request, TargetId target) {
    long elapsedNanos = clockNanos.getAsLong() - request.receivedNanos();
    boolean isLate = elapsedNanos > TimeUnit.MILLISECONDS.toNanos(inTimeMillis(request));
    ServiceCounts counts = counts(request.service());
    synchronized (counts) {
      counts.at(interval()).addAnswered(target, isLate);
    }
    counts.count(isLate ? "late" : "answered");
    counts.duration.record(elapsedNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Counts an error that the router answered.
   *
   * @param request the request
   * @param kind kind of the error
   */
  void refused(CallerRequest request, ErrorKind kind) {
    // Names that callers make up must not create counters.
    ServiceName service = kind == ErrorKind.UNKNOWN_SERVICE ? UNKNOWN : request.service();
    ServiceCounts counts = counts(service);
    synchronized (counts) {
      ErrorBudgetWindow window = counts.at(interval());
      if (kind.outcome() == Outcome.NOT_RUN && kind.httpStatus() < FIRST_SERVER_ERROR) {
        window.addRefused();
      } else if (kind.outcome() == Outcome.NOT_RUN) {
        window.addNotRun();
      } else {
        window.addUnknown();
      }
    }
    if (UNAVAILABLE.contains(kind)) {
      counts.unavailable(interval(), nowMillis() / SLICE_MILLIS);
    }
    counts.count(kind.code());
  }

  /**
   * Counts a request whose caller left or whose response broke off.
   *
   * @param service the service
   */
  void lost(ServiceName service) {
    ServiceCounts counts = counts(service);
    synchronized (counts) {
      counts.at(interval()).addLost();
    }
    counts.count("lost");
  }

  /**
   * Counts the hash slots whose owner differs between two states.
   *
   * @param before the earlier state
   * @param after the later state
   */
  void observe(ControlState before, ControlState after) {
    for (ServiceSpec service : after.services()) {
      long moved = after.movedSlots(before, service.name());
      if (moved > 0) {
        ServiceCounts counts = counts(service.name());
        synchronized (counts) {
          counts.at(interval()).addChurn(moved);
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
    return counts(service).sum(interval() - intervals + 1);
  }

  /** A service without an objective has its answers in time until the caller's deadline. */
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
