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
 * Grants or probes of one target under one dispatch fence, and what follows from its answers.
 *
 * <p>At most one grant is outstanding, so the last grant that may have reached a silent target was
 * sent at most one interval after the last answered one, and detection overlaps with its expiry.
 */
final class TargetContact {
  private static final long INTERVAL_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.GRANT_INTERVAL_MILLIS);
  private static final long SUSPECT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(ControlTiming.TARGET_SUSPECT_MILLIS);
  private static final long EXPIRY_NANOS =
      ControlTiming.grantorWaitNanos(ControlTiming.GRANT_TTL_MILLIS);

  /** Time that the driver has to write a grant; a grant written later would outlive the wait. */
  private static final long WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** After this time an unanswered grant counts as lost, in case the driver reports nothing. */
  private static final long OUTSTANDING_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time between suspicion and release: after a pause of this process, answers that waited are
   * applied first.
   */
  private static final long CONFIRM_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final Fence fence;
  private TargetSpec spec;
  private TargetStatus status;
  private OptionalLong clockMillis = OptionalLong.empty();
  private long validUntilMillis;
  private long lastSentNanos;
  private long lastWrittenNanos;
  private long answeredSendNanos;
  private long unansweredSinceNanos;
  private long suspectedNanos;
  private int runningOlder;
  private boolean sentAny;
  private boolean everAnswered;
  private boolean outstanding;
  private boolean unanswered;
  private boolean suspected;
  private boolean released;
  private boolean superseded;

  TargetContact(long nowNanos, Fence fence, TargetSpec spec, TargetStatus status) {
    this.fence = fence;
    this.spec = spec;
    this.status = status;
    // The previous dispatcher may have sent a grant until now.
    this.lastWrittenNanos = nowNanos;
  }

  void viewChanged(TargetSpec newSpec, TargetStatus newStatus) {
    if (!newSpec.incarnation().equals(spec.incarnation())) {
      clockMillis = OptionalLong.empty();
    }
    spec = newSpec;
    status = newStatus;
  }

  /** Sends a grant or probe when one is due. */
  void poll(long nowNanos, long leaseUntilNanos, boolean hasOpen, List<DispatchEffect> out) {
    resumeIfLost(hasOpen);
    updateSuspicion(nowNanos);
    if (nowNanos - leaseUntilNanos >= 0 || released || superseded || status == TargetStatus.GONE) {
      return;
    }
    if (!isDue(nowNanos)) {
      return;
    }
    long sendBeforeNanos = Math.min(nowNanos + WRITE_NANOS, leaseUntilNanos);
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
   * Takes the answer to a grant. A grant that had already ended when the target read it only
   * fetched the clock's reading, and the next one is sent at once.
   */
  void grantAnswered(int older, long targetClockMillis) {
    if (!outstanding) {
      return;
    }
    clockMillis = OptionalLong.of(targetClockMillis);
    runningOlder = older;
    endSuspicion();
    if (targetClockMillis < validUntilMillis) {
      everAnswered = true;
      answeredSendNanos = lastSentNanos;
    } else {
      sentAny = false;
    }
  }

  void probeAnswered() {
    if (outstanding) {
      endSuspicion();
      everAnswered = true;
      answeredSendNanos = lastSentNanos;
    }
  }

  private void endSuspicion() {
    outstanding = false;
    unanswered = false;
    suspected = false;
  }

  void failed() {
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

  /** Tells whether requests may be sent as far as the target's own state is concerned. */
  boolean isUsable(long nowNanos) {
    return isAnswering(nowNanos)
        && (status == TargetStatus.ACTIVE || status == TargetStatus.DRAINING);
  }

  /** Tells whether everything sent under older fences has ended at the target. */
  boolean isClearOfOlder() {
    return !spec.checksFences() || (everAnswered && runningOlder == 0);
  }

  /**
   * Returns the condition to report. Once it is {@link TargetCondition#RELEASED}, nothing is sent
   * until the view shows the target as lost.
   *
   * @param nowNanos time of the report
   * @param mayRunMore true when requests sent to a target that does not check fences may still run
   */
  TargetCondition report(long nowNanos, boolean mayRunMore) {
    if (released) {
      return TargetCondition.RELEASED;
    }
    if (isAnswering(nowNanos)) {
      return TargetCondition.HEALTHY;
    }
    boolean confirmed = suspected && nowNanos - suspectedNanos >= CONFIRM_NANOS;
    if (!confirmed || status == TargetStatus.LOST) {
      return TargetCondition.SUSPECT;
    }
    boolean expired = nowNanos - lastWrittenNanos >= EXPIRY_NANOS;
    released = spec.checksFences() ? expired : !mayRunMore;
    return released ? TargetCondition.RELEASED : TargetCondition.SUSPECT;
  }

  private boolean isAnswering(long nowNanos) {
    return everAnswered
        && !released
        && !superseded
        && nowNanos - answeredSendNanos <= SUSPECT_NANOS;
  }

  /**
   * Resumes after a release. A request that is still open may wait unread at the target and would
   * become executable by a grant with the same fence, so an open request requires a new fence.
   */
  private void resumeIfLost(boolean hasOpen) {
    if (released && status == TargetStatus.LOST && !hasOpen) {
      released = false;
      clockMillis = OptionalLong.empty();
      everAnswered = false;
      outstanding = false;
      unanswered = false;
      suspected = false;
    }
  }

  private void updateSuspicion(long nowNanos) {
    boolean silent =
        unanswered && nowNanos - unansweredSinceNanos >= SUSPECT_NANOS - INTERVAL_NANOS;
    if (silent && !suspected) {
      suspected = true;
      suspectedNanos = nowNanos;
    }
  }

  private boolean isDue(long nowNanos) {
    if (outstanding && nowNanos - lastSentNanos < OUTSTANDING_NANOS) {
      return false;
    }
    if (sentAny && nowNanos - lastSentNanos < INTERVAL_NANOS) {
      return false;
    }
    return !suspected || status == TargetStatus.LOST || !spec.checksFences();
  }

  private void recordSent(long nowNanos, long sendBeforeNanos) {
    sentAny = true;
    outstanding = true;
    lastSentNanos = nowNanos;
    lastWrittenNanos = sendBeforeNanos;
    if (!unanswered) {
      unanswered = true;
      unansweredSinceNanos = nowNanos;
    }
  }
}
