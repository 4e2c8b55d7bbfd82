package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.TargetConcurrencyLimit;
import io.coltsfootwheel.model.InstanceId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Load of one target as observed by all entries: requests in flight, slot time per request, and the
 * concurrency limit that follows from them.
 *
 * <p>Detects when a target suddenly becomes several times slower. Requests completed before the
 * slowdown outnumber the later ones, so the average over a long window would hide it for seconds.
 * The average over a short window is used as soon as the difference is statistically significant.
 */
final class TargetLoad {
  private static final long STEADY_TIME_CONSTANT_MILLIS = 4_000;
  private static final long RECENT_TIME_CONSTANT_MILLIS = 1_000;

  /** Age at which the report of an entry expires; the entry may have stopped. */
  private static final long REPORT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Weight, in requests, of the assumed time per request before enough requests are observed. */
  private static final double PRIOR_REQUESTS = 4;

  /** Assumed time per request before any target of the service has completed enough requests. */
  private static final double PRIOR_SECONDS_PER_REQUEST = 0.12;

  private static final double MIN_SECONDS_PER_REQUEST = 0.001;

  /** A stored number of slots that no target can have is adjusted. */
  private static final int MAX_SLOTS = 100_000;

  /** Longest time between two reports for which requests in flight are taken as constant. */
  private static final long MAX_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Weight, in requests, of the steady average in the recent one, which is over few requests. */
  private static final double RECENT_PRIOR_REQUESTS = 3;

  /** Standard deviation of the slot time of one request, relative to its mean. */
  private static final double RELATIVE_STANDARD_DEVIATION = 0.55;

  /** Standard deviations from which a difference between the two averages is significant. */
  private static final double SIGNIFICANT_DEVIATIONS = 2.5;

  /** Last observation of each entry, the oldest first. */
  private final Map<InstanceId, Observation> byEntry = new LinkedHashMap<>();

  /** Requests in flight of all observations in {@link #byEntry}. */
  private int inFlight;

  private final ServiceTime steady = new ServiceTime(STEADY_TIME_CONSTANT_MILLIS);
  private final ServiceTime recent = new ServiceTime(RECENT_TIME_CONSTANT_MILLIS);
  private long sampledNanos;
  private double usualSecondsPerRequest = PRIOR_SECONDS_PER_REQUEST;
  private TargetConcurrencyLimit limit = new TargetConcurrencyLimit();
  private long incarnationMillis;

  private record Observation(long nowNanos, int inFlight) {}

  /** Starts with a new limit if the target is another incarnation than before. */
  void startIncarnation(long newIncarnationMillis) {
    if (incarnationMillis != newIncarnationMillis) {
      incarnationMillis = newIncarnationMillis;
      limit = new TargetConcurrencyLimit();
    }
  }

  /** Sets the time per request of the service, from which the estimates for entries start. */
  void updateUsualTime(double secondsPerRequest) {
    usualSecondsPerRequest = Math.max(MIN_SECONDS_PER_REQUEST, secondsPerRequest);
  }

  /** Adds a report of one entry about a target whose refusals depend on its load. */
  void add(long nowNanos, InstanceId entry, int slots, LoadReport.TargetObservation observation) {
    add(nowNanos, entry, slots, observation, true);
  }

  /**
   * Adds a report of one entry.
   *
   * @param isServiceLoadRelated whether the refusals of all targets of the service depend on load
   */
  void add(
      long nowNanos,
      InstanceId entry,
      int slots,
      LoadReport.TargetObservation observation,
      boolean isServiceLoadRelated) {
    int inFlightOfEntry = observation.inFlight();
    int completedRequests = observation.completed();
    Observation previous = byEntry.remove(entry);
    inFlight += inFlightOfEntry - (previous == null ? 0 : previous.inFlight());
    byEntry.put(entry, new Observation(nowNanos, inFlightOfEntry));
    steady.recordCompleted(nowNanos, completedRequests);
    recent.recordCompleted(nowNanos, completedRequests);
    if (sampledNanos != 0) {
      long spanNanos = Math.min(MAX_SAMPLE_NANOS, nowNanos - sampledNanos);
      double busySlots = Math.min(slots, inFlight(nowNanos));
      double busySlotSeconds = busySlots * spanNanos / TimeUnit.SECONDS.toNanos(1);
      steady.recordBusy(nowNanos, busySlotSeconds);
      recent.recordBusy(nowNanos, busySlotSeconds);
    }
    sampledNanos = nowNanos;
    limit.add(
        nowNanos,
        capacity(nowNanos, slots),
        new TargetConcurrencyLimit.Observation(
            inFlight(nowNanos),
            Math.max(0, completedRequests),
            Math.max(0, observation.responseMillis()),
            observation.overloadSignals(),
            observation.reportedLoad(),
            observation.refusals().valid(),
            isServiceLoadRelated));
  }

  private TargetConcurrencyLimit.Capacity capacity(long nowNanos, int slots) {
    return new TargetConcurrencyLimit.Capacity(
        Math.max(1, Math.min(MAX_SLOTS, slots)),
        Math.max(MIN_SECONDS_PER_REQUEST, secondsPerRequest(nowNanos, usualSecondsPerRequest)),
        usualSecondsPerRequest);
  }

  int inFlight(long nowNanos) {
    Iterator<Observation> oldestFirst = byEntry.values().iterator();
    while (oldestFirst.hasNext()) {
      Observation oldest = oldestFirst.next();
      if (nowNanos - oldest.nowNanos() <= REPORT_VALIDITY_NANOS) {
        break;
      }
      inFlight -= oldest.inFlight();
      oldestFirst.remove();
    }
    return inFlight;
  }

  TargetLoadEstimate estimate(long nowNanos, int slots) {
    return new TargetLoadEstimate(
        inFlight(nowNanos),
        (int) (secondsPerRequest(nowNanos, usualSecondsPerRequest) * TimeUnit.SECONDS.toMillis(1)),
        limit.current(capacity(nowNanos, slots)));
  }

  /** Returns the slot time of the requests that were completed lately. */
  double busySlotSeconds(long nowNanos) {
    return Math.max(0, steady.busySlotSeconds.valueAt(nowNanos));
  }

  /** Returns the requests that were completed lately. */
  double completed(long nowNanos) {
    return Math.max(0, steady.completed(nowNanos));
  }

  /** Returns the time per request of targets from the sums of their slot times and requests. */
  static double secondsPerRequest(double busySlotSeconds, double completed) {
    return (busySlotSeconds + PRIOR_REQUESTS * PRIOR_SECONDS_PER_REQUEST)
        / (completed + PRIOR_REQUESTS);
  }

  /**
   * Returns the time for which one request occupies a slot; it is longer at a slow target. The time
   * assumed of an idle target is constant, because ranges move when the times of targets change.
   */
  double secondsPerRequest(long nowNanos) {
    return secondsPerRequest(nowNanos, PRIOR_SECONDS_PER_REQUEST);
  }

  private double secondsPerRequest(long nowNanos, double priorSecondsPerRequest) {
    double steadySeconds =
        steady.secondsPerRequest(nowNanos, PRIOR_REQUESTS, priorSecondsPerRequest);
    double recentSeconds = recent.secondsPerRequest(nowNanos, RECENT_PRIOR_REQUESTS, steadySeconds);
    double requests = recent.completed(nowNanos) + RECENT_PRIOR_REQUESTS;
    double significantDeviation =
        SIGNIFICANT_DEVIATIONS * RELATIVE_STANDARD_DEVIATION / Math.sqrt(requests);
    return Math.abs(recentSeconds / steadySeconds - 1) > significantDeviation
        ? recentSeconds
        : steadySeconds;
  }

  /** Occupied slot time and completed requests over an exponentially decaying window. */
  private static final class ServiceTime {
    private final DecayingSum busySlotSeconds;
    private final DecayingSum completed;

    private ServiceTime(long timeConstantMillis) {
      busySlotSeconds = new DecayingSum(timeConstantMillis);
      completed = new DecayingSum(timeConstantMillis);
    }

    private void recordBusy(long nowNanos, double slotSeconds) {
      busySlotSeconds.add(nowNanos, slotSeconds);
    }

    private void recordCompleted(long nowNanos, int requests) {
      completed.add(nowNanos, requests);
    }

    private double completed(long nowNanos) {
      return completed.valueAt(nowNanos);
    }

    private double secondsPerRequest(
        long nowNanos, double priorRequests, double priorSecondsPerRequest) {
      return (busySlotSeconds.valueAt(nowNanos) + priorRequests * priorSecondsPerRequest)
          / (completed.valueAt(nowNanos) + priorRequests);
    }
  }
}
