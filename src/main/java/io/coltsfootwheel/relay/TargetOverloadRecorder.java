package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.micrometer.core.instrument.MeterRegistry;

/** Records the signs of full targets in their state, in metrics and in the log. */
final class TargetOverloadRecorder {
  /** Sign of a full target. */
  enum Sign {
    REFUSAL("refusal"),
    RESET("reset"),
    MISSING_RESPONSE("missing_response");

    private final String tag;

    Sign(String tag) {
      this.tag = tag;
    }

    static Sign of(CallFailure failure) {
      return failure == CallFailure.OVERDUE ? MISSING_RESPONSE : RESET;
    }
  }

  private final EventLog log;
  private final MeterRegistry meters;
  private final LimitMode limitMode;

  TargetOverloadRecorder(EventLog log, MeterRegistry meters, LimitMode limitMode) {
    this.log = log;
    this.meters = meters;
    this.limitMode = limitMode;
  }

  /** Returns whether calls whose response is overdue are given up or no longer counted. */
  boolean handlesOverdueResponses() {
    return limitMode.isEnforced();
  }

  /** Lowers the limit of a target; a line is written only when it was not lowered before. */
  void record(long nowNanos, TargetStats target, Sign sign) {
    boolean wasLimited = target.isLimited(nowNanos);
    int limitBefore = target.determinedLimit(nowNanos);
    int inFlight = target.estimatedInFlight();
    target.recordOverload(nowNanos);
    count(sign);
    if (!wasLimited) {
      log.write(
          LogEvent.of("target.full")
              .with("target", target.spec().id())
              .with("sign", sign.tag)
              .with("in_flight", inFlight)
              .with("limit_before", limitBefore)
              .with("limit", target.determinedLimit(nowNanos)));
    }
  }

  /**
   * Records a refusal, which may be a sign of a full target if the target names no time for which
   * it wants no requests. The leader decides whether it is one: an entry sees too few of them to
   * tell whether the target refuses requests at any load.
   *
   * @param wasSentToFreeSlot whether the target had a free slot when the request was sent
   */
  void recordRefusal(long nowNanos, TargetStats target, boolean wasSentToFreeSlot) {
    target.recordRejection();
    if (target.remainingPauseMillis(nowNanos) > 0) {
      return;
    }
    target.countRefusal(wasSentToFreeSlot);
    if (!wasSentToFreeSlot) {
      count(Sign.REFUSAL);
    }
  }

  private void count(Sign sign) {
    meters.counter("coltsfootwheel.target.overload", "sign", sign.tag).increment();
  }

  /**
   * Records a call without a usable response, as a sign of a full target or as a failure of it.
   *
   * @param inFlightWhenSent estimated requests in flight when the request was sent
   */
  void recordFailure(long nowNanos, TargetStats target, CallFailure failure, int inFlightWhenSent) {
    boolean isFull = failure.isSignOfFullTarget() && target.isNearLimit(nowNanos, inFlightWhenSent);
    if (isFull) {
      record(nowNanos, target, Sign.of(failure));
    }
    if (isFull && limitMode.isEnforced()) {
      target.recordCancellation();
    } else {
      target.recordFailure(nowNanos);
    }
  }
}
