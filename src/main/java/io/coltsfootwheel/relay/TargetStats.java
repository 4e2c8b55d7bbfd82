package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import java.util.concurrent.TimeUnit;

/** What one entry knows of one target; used on the relay thread alone. */
final class TargetStats {
  private static final TargetLoadEstimate UNKNOWN_PRESSURE = new TargetLoadEstimate(0, 120);

  /** Failures in a row, without an answer between, after which a target is avoided. */
  private static final int SUSPECT_FAILURES = 2;

  private static final long FIRST_SUSPICION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int MAX_SUSPICION_DOUBLINGS = 3;

  private OwnershipView.Target spec;
  private TargetLoadEstimate pressure = UNKNOWN_PRESSURE;
  private int reportedInFlight;
  private int inFlight;
  private int completedSinceReport;
  private int failuresInRow;
  private long suspectUntilNanos;
  private long leavingSinceNanos;

  TargetStats(OwnershipView.Target spec, long nowNanos) {
    update(spec, nowNanos);
  }

  void update(OwnershipView.Target newSpec, long nowNanos) {
    boolean leaves =
        newSpec.phase() != TargetPhase.READY && (spec == null || spec.phase() == TargetPhase.READY);
    if (leaves) {
      leavingSinceNanos = nowNanos;
    }
    spec = newSpec;
  }

  void update(TargetLoadEstimate newPressure) {
    pressure = newPressure;
  }

  OwnershipView.Target spec() {
    return spec;
  }

  int inFlight() {
    return inFlight;
  }

  /** Returns the requests in flight at the target over all entries, as far as is known. */
  int estimatedInFlight() {
    return Math.max(0, pressure.inFlight() - reportedInFlight) + inFlight;
  }

  int millisPerRequest() {
    return pressure.millisPerRequest();
  }

  /** Returns the expected time from sending a request now to its answer. */
  long expectedMillis() {
    int ahead = Math.max(0, estimatedInFlight() - spec.slots() + 1);
    return (long) pressure.millisPerRequest() * ahead / spec.slots() + pressure.millisPerRequest();
  }

  /** Tells whether the target may receive requests although it is leaving. */
  boolean isServing(long nowNanos, long drainMillis) {
    return spec.phase() == TargetPhase.READY
        || nowNanos - leavingSinceNanos < TimeUnit.MILLISECONDS.toNanos(drainMillis);
  }

  boolean isSuspect(long nowNanos) {
    return failuresInRow >= SUSPECT_FAILURES && nowNanos - suspectUntilNanos < 0;
  }

  void sent() {
    inFlight++;
  }

  void answered() {
    inFlight--;
    completedSinceReport++;
    failuresInRow = 0;
  }

  /**
   * Notes a request that the target answered without running it. It is no completed work: an
   * overloaded target that rejects much would seem to be fast.
   */
  void rejected() {
    inFlight--;
    failuresInRow = 0;
  }

  /** Notes the end of a request that was given up without a fault of the target. */
  void abandoned() {
    inFlight--;
  }

  void failed(long nowNanos) {
    inFlight--;
    failuresInRow++;
    if (failuresInRow >= SUSPECT_FAILURES) {
      int doublings = Math.min(MAX_SUSPICION_DOUBLINGS, failuresInRow - SUSPECT_FAILURES);
      suspectUntilNanos = nowNanos + (FIRST_SUSPICION_NANOS << doublings);
    }
  }

  /**
   * Tells whether the leader needs a report: also when the last request in flight was given up,
   * because the leader would count it for as long as it keeps the last report.
   */
  boolean hasChanged() {
    return completedSinceReport > 0 || inFlight > 0 || reportedInFlight > 0;
  }

  /** Returns the requests answered since the last call and notes what is reported. */
  int takeCompleted() {
    int completed = completedSinceReport;
    completedSinceReport = 0;
    reportedInFlight = inFlight;
    return completed;
  }
}
