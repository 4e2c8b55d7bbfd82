package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.WarmupState;
import io.coltsfootwheel.loadcontrol.AdmissionShare;
import io.coltsfootwheel.loadcontrol.RefusalCounts;
import io.coltsfootwheel.loadcontrol.TargetConcurrencyLimit;
import io.coltsfootwheel.model.TargetNotices;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** State of a target as seen by one entry; confined to the relay's event loop. */
final class TargetStats {
  private static final TargetLoadEstimate INITIAL_LOAD_ESTIMATE = new TargetLoadEstimate(0, 120);

  /** Factor by which an overload signal that this entry received lowers the limit for it. */
  private static final double OWN_DECREASE_FACTOR = 0.8;

  /** Time in which own signals lower the limit once: they come from requests sent together. */
  private static final long OWN_DECREASE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time without own signals after which the own limit rises by one request. */
  private static final long OWN_INCREASE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Requests in flight, relative to the limit, from which a reset or missing response is a sign of
   * a full target. The difference is for requests of other entries that are not yet known here.
   */
  private static final double NEAR_LIMIT_RATIO = 0.6;

  /** Consecutive failures, without a response in between, after which a target is suspect. */
  private static final int SUSPECT_FAILURE_COUNT = 2;

  /**
   * Time for which a target is first suspect; each further failure doubles it, up to {@link
   * #MAX_SUSPICION_DOUBLINGS} times.
   */
  private static final long INITIAL_SUSPICION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final int MAX_SUSPICION_DOUBLINGS = 3;

  private static final int MAX_SLOTS = 100_000;

  /** Time on the way to the target: requests wait for responses on the link of the entry. */
  private static final long TRANSIT_MARGIN_MILLIS = 500;

  /** A request may first wait for a connection. */
  private static final long DRAIN_MARGIN_MILLIS =
      TargetConnections.CONNECT_TIMEOUT_MILLIS + TRANSIT_MARGIN_MILLIS;

  private final TargetPermits permits = new TargetPermits();
  private OwnershipView.Target spec;
  private boolean isCold;
  private TargetNotices notices = new TargetNotices();
  private TargetLoadEstimate loadEstimate = INITIAL_LOAD_ESTIMATE;
  private final AdmissionShare share = new AdmissionShare();
  private final LimitMode limitMode;
  private int otherEntries;
  private int ownLimit = Integer.MAX_VALUE;
  private long ownSignalNanos;
  private long responseMillisSinceReport;
  private int overloadSignalsSinceReport;
  private int busyRefusalsSinceReport;
  private int freeRefusalsSinceReport;
  private int freeResponsesSinceReport;
  private int selfReportedLoad;
  private int reportedInFlight;
  private int inFlight;
  private int completedSinceReport;
  private int consecutiveFailures;
  private long suspectUntilNanos;
  private long notReadySinceNanos;

  /** False for a target that was already leaving when this entry first saw it. */
  private boolean isDrainStartKnown;

  private long evacuatedSinceNanos;

  /** False for a target whose zone was already evacuated when this entry first saw it there. */
  private boolean isEvacuationStartKnown;

  /** Time at which the target joined, until this entry sends it a request. */
  private OptionalLong joinedNanos = OptionalLong.empty();

  /** Whether the service limits the requests to cold targets, so that permits are granted. */
  private boolean isWarmupLimited;

  /** Creates the state of a target whose concurrency limit is enforced. */
  TargetStats(OwnershipView.Target spec, long changeNanos) {
    this(spec, changeNanos, LimitMode.ENFORCE);
  }

  TargetStats(OwnershipView.Target spec, long changeNanos, LimitMode limitMode) {
    this.limitMode = limitMode;
    updateSpec(spec, changeNanos);
  }

  /**
   * Replaces the properties of the target.
   *
   * @param newSpec the properties
   * @param changeNanos earliest time at which they can have changed
   */
  void updateSpec(OwnershipView.Target newSpec, long changeNanos) {
    boolean leavesReady =
        newSpec.phase() != TargetPhase.READY && (spec == null || spec.phase() == TargetPhase.READY);
    if (leavesReady) {
      notReadySinceNanos = changeNanos;
      isDrainStartKnown = spec != null;
    }
    if (newSpec.evacuated() && (spec == null || !spec.evacuated())) {
      evacuatedSinceNanos = changeNanos;
      isEvacuationStartKnown = spec != null && newSpec.zone().equals(spec.zone());
    }
    if (spec != null && spec.incarnationMillis() != newSpec.incarnationMillis()) {
      notices = new TargetNotices();
      recordJoined(changeNanos);
      ownLimit = Integer.MAX_VALUE;
    }
    boolean wasUnusable = spec != null && (spec.evacuated() || isCold);
    isCold = isColdBy(newSpec);
    spec = newSpec;
    if (joinedNanos.isPresent() && wasUnusable && !spec.evacuated() && !isCold) {
      // Entries send their first requests one after the other from the time at which they may.
      recordJoined(changeNanos);
    }
  }

  /**
   * Returns whether the target is cold by new properties. A state that the leader does not know yet
   * stays as it was, but a target whose evacuation ended may have become cold meanwhile.
   */
  private boolean isColdBy(OwnershipView.Target newSpec) {
    if (newSpec.warmup() != WarmupState.UNKNOWN) {
      return newSpec.warmup() == WarmupState.COLD;
    }
    boolean isKnown = spec != null && spec.incarnationMillis() == newSpec.incarnationMillis();
    boolean evacuationEnds = isKnown && spec.evacuated() && !newSpec.evacuated();
    return evacuationEnds && isWarmupLimited || isKnown && isCold;
  }

  /** Records that the target joined while this entry knew the others of its service. */
  void recordJoined(long nowNanos) {
    joinedNanos = OptionalLong.of(nowNanos);
  }

  /** Returns when the target joined, if this entry has sent it no request since then. */
  OptionalLong joinedNanos() {
    return joinedNanos;
  }

  /** Returns what an incarnation of the target has said of itself, or empty for a former one. */
  Optional<TargetNotices> notices(long incarnationMillis) {
    return spec.incarnationMillis() == incarnationMillis ? Optional.of(notices) : Optional.empty();
  }

  /** Returns whether the target is leaving, by the leader's view or by its own word. */
  boolean isLeaving() {
    return spec.phase() != TargetPhase.READY || notices.isLeaving();
  }

  /** Returns whether the zone of the target is evacuated; this is neither a fault nor leaving. */
  boolean isEvacuated() {
    return spec.evacuated();
  }

  /** Returns whether requests may be sent to the target only with a permit. */
  boolean isCold() {
    return isCold;
  }

  /** Sets whether the service limits the requests to cold targets. */
  void setWarmupLimited(boolean limited) {
    isWarmupLimited = limited;
  }

  /** Returns the permits for the time in which the target is cold. */
  TargetPermits permits() {
    return permits;
  }

  /** Returns the time for which the target has asked to receive no requests, 0 for none. */
  long remainingPauseMillis(long nowNanos) {
    return notices.remainingPauseMillis(nowNanos);
  }

  void updateLoadEstimate(TargetLoadEstimate newLoadEstimate) {
    boolean followsOwnSignals =
        newLoadEstimate.concurrencyLimit() > 0 && newLoadEstimate.concurrencyLimit() <= ownLimit;
    if (followsOwnSignals) {
      ownLimit = Integer.MAX_VALUE;
    }
    loadEstimate = newLoadEstimate;
  }

  void updateEntryCount(int entryCount) {
    otherEntries = entryCount - 1;
  }

  /** Returns the requests in flight of all entries up to which the target receives more. */
  int concurrencyLimit(long nowNanos) {
    return limitMode.admissionLimit(
        determinedLimit(nowNanos), TargetConcurrencyLimit.initial(slots()));
  }

  /**
   * Returns the limit that follows from what was observed of the target: the limit of the leader,
   * lowered by own overload signals until the leader has followed them. Without a leader, it rises
   * again by one request each second.
   */
  int determinedLimit(long nowNanos) {
    int published =
        loadEstimate.concurrencyLimit() > 0
            ? loadEstimate.concurrencyLimit()
            : TargetConcurrencyLimit.initial(slots());
    if (ownLimit == Integer.MAX_VALUE) {
      return published;
    }
    long risen = Math.max(0, nowNanos - ownSignalNanos) / OWN_INCREASE_NANOS;
    return (int) Math.min(published, ownLimit + risen);
  }

  /** Returns whether the target gets less than one that has signalled no overload. */
  boolean isLimited(long nowNanos) {
    return determinedLimit(nowNanos) < TargetConcurrencyLimit.initial(slots());
  }

  /** Counts a request for the target, whether it is admitted or not. */
  void recordRequest(long nowNanos) {
    share.recordRequest(nowNanos);
  }

  /**
   * Returns whether the request that was counted last is within this entry's share of a lowered
   * limit, or of what a raised limit allows beyond the initial one; if so, it counts as sent.
   */
  boolean tryUseShare(long nowNanos, double othersWeight) {
    boolean isWithinInitialLimit =
        estimatedInFlight(othersWeight) < TargetConcurrencyLimit.initial(slots());
    boolean isLowered = concurrencyLimit(nowNanos) < TargetConcurrencyLimit.initial(slots());
    if (!isLowered && isWithinInitialLimit) {
      return true;
    }
    double completedPerSecond =
        (double) TimeUnit.SECONDS.toMillis(1) * slots() / Math.max(1, millisPerRequest());
    int room = concurrencyLimit(nowNanos) - estimatedInFlight(othersWeight);
    return share.tryAdmit(room, completedPerSecond, otherEntries);
  }

  /**
   * Returns whether a reset or a missing response is a sign that the target is full.
   *
   * @param inFlightWhenSent estimated requests in flight when the request was sent
   */
  boolean isNearLimit(long nowNanos, int inFlightWhenSent) {
    return Math.max(inFlightWhenSent, estimatedInFlight())
        >= NEAR_LIMIT_RATIO * concurrencyLimit(nowNanos);
  }

  /** Counts a refusal for the leader, which decides whether it is a sign of a full target. */
  void countRefusal(boolean wasSentToFreeSlot) {
    if (wasSentToFreeSlot) {
      freeRefusalsSinceReport++;
    } else {
      busyRefusalsSinceReport++;
    }
  }

  /** Counts a response to a request that was sent to a free slot. */
  void countResponseOfFreeSlot() {
    freeResponsesSinceReport++;
  }

  /** Records that the target is full; the request that showed it is recorded apart from this. */
  void recordOverload(long nowNanos) {
    overloadSignalsSinceReport++;
    boolean isSameOverload =
        ownLimit != Integer.MAX_VALUE && nowNanos - ownSignalNanos < OWN_DECREASE_INTERVAL_NANOS;
    if (isSameOverload) {
      return;
    }
    int limit = determinedLimit(nowNanos);
    int lowest = Math.max(1, Math.min(slots(), estimatedInFlight()));
    ownLimit = Math.min(limit, Math.max(lowest, (int) (OWN_DECREASE_FACTOR * limit)));
    ownSignalNanos = nowNanos;
  }

  /** Records the requests running and waiting by the target's own word. */
  void recordSelfReportedLoad(int requests) {
    selfReportedLoad = requests;
  }

  OwnershipView.Target spec() {
    return spec;
  }

  /** Returns the slots of the target; a stored number that no target can have is adjusted. */
  int slots() {
    return Math.max(1, Math.min(MAX_SLOTS, spec.slots()));
  }

  int inFlight() {
    return inFlight;
  }

  /**
   * Returns the estimated requests in flight from all entries: the reported total, with this
   * entry's share replaced by its current count.
   */
  int estimatedInFlight() {
    return estimatedInFlight(1);
  }

  /**
   * Returns the estimated requests in flight, of which those of other entries have a weight from 0
   * to 1.
   */
  int estimatedInFlight(double othersWeight) {
    int inFlightOfOthers = Math.max(0, loadEstimate.inFlight() - reportedInFlight);
    return (int) Math.round(othersWeight * inFlightOfOthers) + inFlight;
  }

  /** Returns whether a request that is sent now is expected to find a free slot. */
  boolean hasFreeSlot() {
    return estimatedInFlight() < slots();
  }

  int millisPerRequest() {
    return loadEstimate.millisPerRequest();
  }

  /** Returns the expected response time of a request that is sent now. */
  long expectedResponseMillis() {
    return expectedResponseMillis(1);
  }

  /** Returns the expected response time for a weight of the requests of other entries. */
  long expectedResponseMillis(double othersWeight) {
    int queuePosition = Math.max(0, estimatedInFlight(othersWeight) - slots() + 1);
    return (long) loadEstimate.millisPerRequest() * queuePosition / slots()
        + loadEstimate.millisPerRequest();
  }

  /**
   * Returns whether the target wants requests and is ready, or has been leaving for so short a time
   * that a request reaches it within its drain time. Of the leader's view and the target's own word
   * the one counts that is first; a view that is older than the word changes nothing. False for a
   * target in an evacuated zone.
   */
  boolean acceptsRequests(long nowNanos, long drainMillis) {
    return !spec.evacuated() && isUsableFor(drainMillis - DRAIN_MARGIN_MILLIS, nowNanos);
  }

  /**
   * Returns whether requests for keys that the target owns may be sent to it. Only the owner can
   * serve them, so it is also used until shortly before the end of the evacuation time.
   */
  boolean acceptsKeyedRequests(long nowNanos, long drainMillis, long evacuationMillis) {
    return isUsableFor(drainMillis - DRAIN_MARGIN_MILLIS, nowNanos)
        && isUsableInEvacuation(evacuationMillis - DRAIN_MARGIN_MILLIS, nowNanos);
  }

  /**
   * Returns whether a request that is written now reaches the target within its drain time, and
   * within the evacuation time of its zone.
   */
  boolean isReachableInTime(long nowNanos, long drainMillis, long evacuationMillis) {
    return isUsableFor(drainMillis - TRANSIT_MARGIN_MILLIS, nowNanos)
        && isUsableInEvacuation(evacuationMillis - TRANSIT_MARGIN_MILLIS, nowNanos);
  }

  private boolean isUsableInEvacuation(long millisAfterStart, long nowNanos) {
    return !spec.evacuated()
        || isEvacuationStartKnown
            && nowNanos - evacuatedSinceNanos < TimeUnit.MILLISECONDS.toNanos(millisAfterStart);
  }

  private boolean isUsableFor(long millisAfterLeaving, long nowNanos) {
    boolean isUsableByView =
        spec.phase() == TargetPhase.READY
            || isDrainStartKnown
                && nowNanos - notReadySinceNanos
                    < TimeUnit.MILLISECONDS.toNanos(millisAfterLeaving);
    return isUsableByView
        && !notices.isLeavingFor(nowNanos, millisAfterLeaving)
        && notices.remainingPauseMillis(nowNanos) == 0;
  }

  boolean isSuspect(long nowNanos) {
    return consecutiveFailures >= SUSPECT_FAILURE_COUNT && nowNanos - suspectUntilNanos < 0;
  }

  void recordSent() {
    inFlight++;
    joinedNanos = OptionalLong.empty();
  }

  void recordResponse() {
    recordResponse(0);
  }

  void recordResponse(long responseMillis) {
    responseMillisSinceReport += responseMillis;
    inFlight--;
    completedSinceReport++;
    consecutiveFailures = 0;
  }

  /**
   * Records a request that the target rejected without executing it. It does not count as completed
   * work, since an overloaded target that rejects many requests would otherwise appear fast.
   */
  void recordRejection() {
    inFlight--;
    consecutiveFailures = 0;
  }

  /**
   * Records the end of a request without a response for a reason other than a fault of the target.
   */
  void recordCancellation() {
    inFlight--;
  }

  void recordFailure(long nowNanos) {
    inFlight--;
    consecutiveFailures++;
    if (consecutiveFailures >= SUSPECT_FAILURE_COUNT) {
      int doublings =
          Math.min(MAX_SUSPICION_DOUBLINGS, consecutiveFailures - SUSPECT_FAILURE_COUNT);
      suspectUntilNanos = nowNanos + (INITIAL_SUSPICION_NANOS << doublings);
    }
  }

  /**
   * Returns whether the leader needs a report. This includes the case that the last request in
   * flight was cancelled, which the leader would otherwise count for as long as it keeps the last
   * report.
   */
  boolean needsReport() {
    return completedSinceReport > 0
        || inFlight > 0
        || reportedInFlight > 0
        || overloadSignalsSinceReport > 0
        || busyRefusalsSinceReport + freeRefusalsSinceReport > 0;
  }

  /** Returns what was observed since the last call, and resets the counts. */
  LoadReport.TargetObservation takeObservation() {
    LoadReport.TargetObservation observation =
        new LoadReport.TargetObservation(
            spec.id(),
            inFlight,
            takeCompletedCount(),
            responseMillisSinceReport,
            overloadSignalsSinceReport,
            selfReportedLoad,
            new RefusalCounts(
                busyRefusalsSinceReport, freeRefusalsSinceReport, freeResponsesSinceReport));
    responseMillisSinceReport = 0;
    overloadSignalsSinceReport = 0;
    selfReportedLoad = 0;
    busyRefusalsSinceReport = 0;
    freeRefusalsSinceReport = 0;
    freeResponsesSinceReport = 0;
    return observation;
  }

  /**
   * Returns the requests completed since the last call, and stores the reported requests in flight.
   */
  int takeCompletedCount() {
    int completed = completedSinceReport;
    completedSinceReport = 0;
    reportedInFlight = inFlight;
    return completed;
  }
}
