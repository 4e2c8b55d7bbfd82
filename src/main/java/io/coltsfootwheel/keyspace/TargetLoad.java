package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.InstanceId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Load of one target as observed by all entries: requests in flight and slot time per request.
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

  private static final double PRIOR_SECONDS_PER_REQUEST = 0.12;

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

  private record Observation(long nowNanos, int inFlight) {}

  /** Adds a report of one entry. */
  void add(long nowNanos, InstanceId entry, int slots, int inFlightOfEntry, int completedRequests) {
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

  TargetLoadEstimate estimate(long nowNanos) {
    return new TargetLoadEstimate(
        inFlight(nowNanos), (int) (secondsPerRequest(nowNanos) * TimeUnit.SECONDS.toMillis(1)));
  }

  /** Returns the time for which one request occupies a slot; it is longer at a slow target. */
  double secondsPerRequest(long nowNanos) {
    double steadySeconds =
        steady.secondsPerRequest(nowNanos, PRIOR_REQUESTS, PRIOR_SECONDS_PER_REQUEST);
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
