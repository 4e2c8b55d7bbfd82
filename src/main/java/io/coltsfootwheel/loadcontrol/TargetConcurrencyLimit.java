package io.coltsfootwheel.loadcontrol;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive limit on the requests that all entries together have in flight at one target.
 *
 * <p>Load patterns: a target that is full (it refuses, resets connections or does not answer), that
 * suddenly becomes slower, or that completes less when more of its slots are busy. The limit is the
 * lowest of three bounds:
 *
 * <ul>
 *   <li>One that falls multiplicatively on overload signals and rises additively without them.
 *   <li>The requests that the target completes within the longest response time that callers accept
 *       (Little's law). It keeps at least the slots busy.
 *   <li>Half of the slots, while the target completes more with them than with all, for targets
 *       with at least {@link #MIN_EFFICIENCY_SLOTS} slots.
 * </ul>
 *
 * <p>Without overload signals and losses of throughput, the limit is at least {@link #initial}.
 *
 * <p>Usage: {@code limit.add(nowNanos, capacity, observation); limit.current(capacity)}.
 */
public final class TargetConcurrencyLimit {
  /** Requests that a target is assumed to queue beyond its slots until it signals overload. */
  private static final int DEFAULT_QUEUE_CAPACITY = 8;

  /**
   * Queue, relative to the slots, up to which the limit rises without overload signals. The
   * response time with such a queue is 3.5 times the work. Latency objectives are a few times the
   * work, so a longer queue only makes responses late.
   */
  private static final double MAX_QUEUE_RATIO = 2.5;

  /**
   * Longest response time that callers accept, relative to the usual time per request of the
   * service. Objectives reach about five times the work, and the work of one kind of request may be
   * half above the mean of its service.
   */
  private static final double ACCEPTED_RESPONSE_RATIO = 8;

  /**
   * Time per request, relative to the usual one, up to which a target keeps its initial limit. The
   * estimate of the time per request varies by half at random.
   */
  private static final double TOLERATED_TIME_RATIO = 2;

  private static final double DECREASE_FACTOR = 0.8;

  /**
   * Time in which overload signals cause one decrease: requests sent before the entries learn of it
   * signal the same overload once more.
   */
  private static final long DECREASE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Longest time between two reports that counts as time without overload signals. */
  private static final double MAX_RISE_SECONDS = 5;

  private static final double INCREASE_PER_SECOND = 1;

  /**
   * Fraction of the last full level to which the limit rises at {@link #INCREASE_PER_SECOND}; the
   * rest is for requests that other entries send before they see the ones in flight.
   */
  private static final double FULL_LEVEL_RATIO = 0.9;

  /** Increase above that fraction: each probe of a full target can lose a request. */
  private static final double CAREFUL_INCREASE_PER_SECOND = 0.1;

  /** Time after the last overload signal at which the full level is forgotten. */
  private static final long FULL_LEVEL_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Requests in flight, relative to the limit, from which the limit counts as used. */
  private static final double USED_RATIO = 0.8;

  /**
   * Slots from which a loss of throughput lowers the limit. A limit below the slots lets some of
   * them wait for a load estimate, which costs more than the loss when there are fewer.
   */
  private static final int MIN_EFFICIENCY_SLOTS = 4;

  private static final double REPORTED_EXCESS_WEIGHT = 0.2;

  /**
   * Self-reported requests beyond those in flight, and the ratio to them, that the age of the
   * reports explains.
   */
  private static final double REPORTED_TOLERANCE = 2;

  private static final double REPORTED_TOLERANCE_RATIO = 1.5;

  /** Largest part of the limit that self-reported load takes away; a target may report falsely. */
  private static final double MAX_REPORTED_RATIO = 0.5;

  private static final int MAX_REPORTED_LOAD = 10_000;

  private final RefusalCriterion refusalCriterion = new RefusalCriterion();
  private int slots;
  private double adaptiveLimit;
  private SlotEfficiency efficiency = new SlotEfficiency(1);
  private double efficientLimit = Double.POSITIVE_INFINITY;
  private double reportedExcess;
  private boolean isFullLevelKnown;
  private double fullLevel;
  private long signalNanos;
  private long decreasedNanos;
  private long windowStartNanos;
  private int windowCompleted;
  private long windowResponseMillis;
  private int windowPeak;
  private int previousPeak;
  private int windowSignals;

  /**
   * What is known of the speed of a target.
   *
   * @param slots requests that it executes at the same time
   * @param secondsPerRequest time for which a request occupies a slot
   * @param usualSecondsPerRequest the same over all targets of the service
   */
  public record Capacity(int slots, double secondsPerRequest, double usualSecondsPerRequest) {}

  /**
   * What entries observed of a target since the last observation.
   *
   * @param inFlight requests in flight of all entries
   * @param completed requests completed
   * @param responseMillis sum of the response times of the completed requests, 0 if unknown
   * @param overloadSignals resets and missing responses of a target near its limit
   * @param reportedLoad requests that the target says it has, 0 if it says nothing
   * @param refusals refusals, of which those without a free slot are signals too, unless the target
   *     refuses requests at any load
   * @param isServiceLoadRelated whether the refusals of all targets of the service depend on load
   */
  public record Observation(
      int inFlight,
      int completed,
      long responseMillis,
      int overloadSignals,
      int reportedLoad,
      RefusalCounts refusals,
      boolean isServiceLoadRelated) {}

  /**
   * Returns the limit of a target about which nothing is known.
   *
   * @param slots slots of the target
   * @return requests in flight
   */
  public static int initial(int slots) {
    return slots + DEFAULT_QUEUE_CAPACITY;
  }

  /**
   * Adds an observation.
   *
   * @param nowNanos monotonic time
   * @param capacity speed of the target
   * @param observation what was observed
   */
  public void add(long nowNanos, Capacity capacity, Observation observation) {
    if (slots != capacity.slots()) {
      start(nowNanos, capacity.slots());
    }
    windowCompleted += observation.completed();
    windowResponseMillis += observation.responseMillis();
    windowPeak = Math.max(windowPeak, observation.inFlight());
    recordReportedLoad(observation);
    refusalCriterion.add(nowNanos, observation.refusals());
    boolean isRefused = observation.refusals().busyRefusals() > 0;
    boolean isRefusalSignal =
        isRefused && observation.isServiceLoadRelated() && refusalCriterion.isLoadRelated();
    if (isRefused && !isRefusalSignal) {
      // The first refusals counted as signs of a full target, before there was anything to compare.
      isFullLevelKnown = false;
    }
    if (observation.overloadSignals() > 0 || isRefusalSignal) {
      recordOverload(nowNanos);
    }
    if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
      closeWindow(nowNanos, capacity);
    }
  }

  /**
   * Returns the current limit.
   *
   * @param capacity speed of the target
   * @return requests in flight of all entries, at least 1
   */
  public int current(Capacity capacity) {
    if (slots != capacity.slots()) {
      return initial(capacity.slots());
    }
    double inTime =
        Math.max(slots * ACCEPTED_RESPONSE_RATIO, TOLERATED_TIME_RATIO * initial(slots))
            * capacity.usualSecondsPerRequest()
            / capacity.secondsPerRequest();
    double limit = Math.min(adaptiveLimit, Math.max(slots + 1.0, inTime));
    limit = Math.min(limit, efficientLimit);
    return (int) Math.max(1, limit - Math.min(reportedExcess, MAX_REPORTED_RATIO * limit));
  }

  private void start(long nowNanos, int newSlots) {
    slots = newSlots;
    adaptiveLimit = initial(newSlots);
    efficiency = new SlotEfficiency(newSlots);
    efficientLimit = Double.POSITIVE_INFINITY;
    isFullLevelKnown = false;
    windowStartNanos = nowNanos;
    decreasedNanos = nowNanos - DECREASE_INTERVAL_NANOS;
  }

  private void recordReportedLoad(Observation observation) {
    if (observation.reportedLoad() <= 0) {
      return;
    }
    double explained = REPORTED_TOLERANCE + REPORTED_TOLERANCE_RATIO * observation.inFlight();
    double excess =
        Math.max(0, Math.min(MAX_REPORTED_LOAD, observation.reportedLoad()) - explained);
    reportedExcess += REPORTED_EXCESS_WEIGHT * (excess - reportedExcess);
  }

  private void recordOverload(long nowNanos) {
    windowSignals++;
    signalNanos = nowNanos;
    if (nowNanos - decreasedNanos < DECREASE_INTERVAL_NANOS) {
      return;
    }
    // Requests in flight are counted late, so a low peak does not mean that the target is small.
    int peak = Math.max(windowPeak, previousPeak);
    fullLevel = Math.min(adaptiveLimit, Math.max(peak, adaptiveLimit / 2));
    isFullLevelKnown = true;
    // Entries that send at once because of an old estimate can fill any target. Only a target that
    // is full with fewer requests than slots needs a limit below them.
    double lowest = Math.max(1, Math.min(slots, peak));
    adaptiveLimit = Math.min(adaptiveLimit, Math.max(lowest, DECREASE_FACTOR * fullLevel));
    decreasedNanos = nowNanos;
  }

  private void closeWindow(long nowNanos, Capacity capacity) {
    double seconds = (double) (nowNanos - windowStartNanos) / TimeUnit.SECONDS.toNanos(1);
    double responseSeconds = (double) windowResponseMillis / TimeUnit.SECONDS.toMillis(1);
    if (responseSeconds > 0 && slots >= MIN_EFFICIENCY_SLOTS) {
      efficiency.add(seconds, windowCompleted, responseSeconds);
      updateEfficientLimit(seconds);
    }
    if (windowSignals == 0) {
      rise(nowNanos, Math.min(MAX_RISE_SECONDS, seconds), responseSeconds, capacity);
    }
    windowStartNanos = nowNanos;
    windowCompleted = 0;
    windowResponseMillis = 0;
    windowSignals = 0;
    previousPeak = windowPeak;
    windowPeak = 0;
  }

  private void updateEfficientLimit(double seconds) {
    if (efficiency.isHalfBetter()) {
      efficientLimit = slots / 2;
    } else if (efficientLimit < slots) {
      efficientLimit += INCREASE_PER_SECOND * seconds;
    } else {
      efficientLimit = Double.POSITIVE_INFINITY;
    }
  }

  private void rise(long nowNanos, double seconds, double responseSeconds, Capacity capacity) {
    if (isFullLevelKnown && nowNanos - signalNanos > FULL_LEVEL_VALIDITY_NANOS) {
      isFullLevelKnown = false;
    }
    boolean isNearFull = isFullLevelKnown && adaptiveLimit >= FULL_LEVEL_RATIO * fullLevel;
    double increase = seconds * (isNearFull ? CAREFUL_INCREASE_PER_SECOND : INCREASE_PER_SECOND);
    double raised = adaptiveLimit + increase;
    if (raised <= initial(slots)) {
      adaptiveLimit = raised;
    } else if (isUsedWell(responseSeconds, capacity)) {
      double max = Math.max(initial(slots), slots * (1 + MAX_QUEUE_RATIO));
      adaptiveLimit = Math.min(max, raised);
    } else {
      adaptiveLimit = Math.max(adaptiveLimit, initial(slots));
    }
  }

  /** Returns whether the limit was reached and the responses were in time nevertheless. */
  private boolean isUsedWell(double responseSeconds, Capacity capacity) {
    return windowPeak >= USED_RATIO * adaptiveLimit
        && windowCompleted > 0
        && responseSeconds
            <= windowCompleted * (1 + MAX_QUEUE_RATIO) * capacity.usualSecondsPerRequest();
  }
}
