package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Monitors one target under one dispatch fence by sending it grants, or probes if it does not check
 * fences, and derives its condition from the answers.
 *
 * <p>At most one grant is outstanding. So the last grant that an unresponsive target may have
 * received was sent at most one interval after the last answered one, and it expires while the
 * failure is being detected.
 */
final class TargetMonitor {
  private static final long GRANT_INTERVAL_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.GRANT_INTERVAL_MILLIS);
  private static final long SUSPECT_TIMEOUT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.TARGET_SUSPECT_MILLIS);
  private static final long GRANT_EXPIRY_NANOS =
      ControlTiming.grantorWaitNanos(ControlTiming.GRANT_TTL_MILLIS);

  /**
   * Time within which the driver has to write a grant. {@link #GRANT_EXPIRY_NANOS} counts from the
   * end of this time; a grant written later could still be valid when that has passed.
   */
  private static final long WRITE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time after which an unanswered grant counts as lost, in case the driver reports no failure. */
  private static final long REPLY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time between suspicion and release. After a pause of this process, it leaves time to apply the
   * answers that arrived during the pause.
   */
  private static final long SUSPICION_CONFIRM_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Fence fence;
  private TargetSpec spec;
  private TargetStatus status;
  private OptionalLong clockMillis = OptionalLong.empty();
  private long validUntilMillis;
  private long lastSentNanos;

  /** Time after which the driver can no longer have written the last grant. */
  private long lastWriteBeforeNanos;

  private long lastAnsweredSendNanos;
  private long unansweredSinceNanos;
  private long suspectedNanos;
  private int runningOlder;
  private boolean hasSent;
  private boolean hasAnswered;

  /** True while the last grant or probe has neither been answered nor failed. */
  private boolean outstanding;

  /** True from the first grant or probe sent after an answer until the next answer. */
  private boolean unanswered;

  private boolean suspected;

  /** True once {@link TargetCondition#RELEASED} was reported, until {@link #resumeIfLost}. */
  private boolean released;

  /** True once the target has refused a grant because it has received one with a newer fence. */
  private boolean superseded;

  TargetMonitor(long nowNanos, Fence fence, TargetSpec spec, TargetStatus status) {
    this.fence = fence;
    this.spec = spec;
    this.status = status;
    // The previous dispatcher may have sent grants up to now.
    this.lastWriteBeforeNanos = nowNanos;
  }

  void viewChanged(TargetSpec newSpec, TargetStatus newStatus) {
    if (!newSpec.incarnation().equals(spec.incarnation())) {
      clockMillis = OptionalLong.empty();
    }
    spec = newSpec;
    status = newStatus;
  }

  /** Sends a grant or probe if one is due and the lease and the state of the target allow it. */
  void sendIfDue(
      long nowNanos, long leaseUntilNanos, boolean hasUnresolved, List<DispatchEffect> out) {
    resumeIfLost(hasUnresolved);
    updateSuspicion(nowNanos);
    if (nowNanos - leaseUntilNanos >= 0 || released || superseded || status == TargetStatus.GONE) {
      return;
    }
    if (!isDue(nowNanos)) {
      return;
    }
    long sendBeforeNanos = Math.min(nowNanos + WRITE_TIMEOUT_NANOS, leaseUntilNanos);
    if (spec.checksFences()) {
      validUntilMillis =
          clockMillis.isPresent() ? clockMillis.getAsLong() + ControlTiming.GRANT_TTL_MILLIS : 0;
      out.add(new DispatchEffect.SendGrant(spec.id(), fence, validUntilMillis, sendBeforeNanos));
    } else {
      out.add(new DispatchEffect.SendProbe(spec.id()));
    }
    recordSent(nowNanos, sendBeforeNanos);
  }

  /**
   * Handles the answer to a grant. A grant that had already expired when the target read it only
   * provides the reading of the target's clock, and the next one is sent at once.
   */
  void grantAnswered(int newRunningOlder, long targetClockMillis) {
    if (!outstanding) {
      return;
    }
    clockMillis = OptionalLong.of(targetClockMillis);
    runningOlder = newRunningOlder;
    endSuspicion();
    if (targetClockMillis < validUntilMillis) {
      hasAnswered = true;
      lastAnsweredSendNanos = lastSentNanos;
    } else {
      hasSent = false;
    }
  }

  void probeAnswered() {
    if (outstanding) {
      endSuspicion();
      hasAnswered = true;
      lastAnsweredSendNanos = lastSentNanos;
    }
  }

  private void endSuspicion() {
    outstanding = false;
    unanswered = false;
    suspected = false;
  }

  void grantOrProbeFailed() {
    outstanding = false;
  }

  void superseded() {
    superseded = true;
  }

  boolean isSuperseded() {
    return superseded;
  }

  boolean isReleased() {
    return released;
  }

  int runningOlder() {
    return runningOlder;
  }

  /** Tells whether the target answers in time and its status allows requests. */
  boolean isUsable(long nowNanos) {
    return isAnswering(nowNanos)
        && (status == TargetStatus.ACTIVE || status == TargetStatus.DRAINING);
  }

  /** Tells whether all requests that were sent under older fences have ended at the target. */
  boolean isClearOfOlderFences() {
    return !spec.checksFences() || (hasAnswered && runningOlder == 0);
  }

  /**
   * Returns the condition to report. Once it is {@link TargetCondition#RELEASED}, nothing is sent
   * to the target until the view shows it as lost.
   *
   * @param nowNanos time of the report
   * @param mayStillExecute true when a target that does not check fences may still execute requests
   *     that were sent to it
   */
  TargetCondition report(long nowNanos, boolean mayStillExecute) {
    if (released) {
      return TargetCondition.RELEASED;
    }
    if (isAnswering(nowNanos)) {
      return TargetCondition.HEALTHY;
    }
    boolean suspicionConfirmed = suspected && nowNanos - suspectedNanos >= SUSPICION_CONFIRM_NANOS;
    if (!suspicionConfirmed || status == TargetStatus.LOST) {
      return TargetCondition.SUSPECT;
    }
    boolean grantExpired = nowNanos - lastWriteBeforeNanos >= GRANT_EXPIRY_NANOS;
    released = spec.checksFences() ? grantExpired : !mayStillExecute;
    return released ? TargetCondition.RELEASED : TargetCondition.SUSPECT;
  }

  private boolean isAnswering(long nowNanos) {
    return hasAnswered
        && !released
        && !superseded
        && nowNanos - lastAnsweredSendNanos <= SUSPECT_TIMEOUT_NANOS;
  }

  /**
   * Resumes grants after a release, once the view shows the target as lost. While a request is
   * unresolved, grants need a new fence: the target may not have read the request yet, and a grant
   * with the same fence would allow it to execute the request.
   */
  private void resumeIfLost(boolean hasUnresolved) {
    if (released && status == TargetStatus.LOST && !hasUnresolved) {
      released = false;
      clockMillis = OptionalLong.empty();
      hasAnswered = false;
      outstanding = false;
      unanswered = false;
      suspected = false;
    }
  }

  private void updateSuspicion(long nowNanos) {
    boolean unresponsive =
        unanswered
            && nowNanos - unansweredSinceNanos >= SUSPECT_TIMEOUT_NANOS - GRANT_INTERVAL_NANOS;
    if (unresponsive && !suspected) {
      suspected = true;
      suspectedNanos = nowNanos;
    }
  }

  private boolean isDue(long nowNanos) {
    if (outstanding && nowNanos - lastSentNanos < REPLY_TIMEOUT_NANOS) {
      return false;
    }
    if (hasSent && nowNanos - lastSentNanos < GRANT_INTERVAL_NANOS) {
      return false;
    }
    return !suspected || status == TargetStatus.LOST || !spec.checksFences();
  }

  private void recordSent(long nowNanos, long sendBeforeNanos) {
    hasSent = true;
    outstanding = true;
    lastSentNanos = nowNanos;
    lastWriteBeforeNanos = sendBeforeNanos;
    if (!unanswered) {
      unanswered = true;
      unansweredSinceNanos = nowNanos;
    }
  }
}
