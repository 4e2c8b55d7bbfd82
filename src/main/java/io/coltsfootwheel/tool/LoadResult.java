package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Outcome;

/** Result of a request of a load run: answered, late, or one of three kinds of lost. */
enum LoadResult {
  /** A target responded in time. */
  ANSWERED(true),
  /** A target responded, but not in time. */
  LATE(true),
  /** No target responded; the request was not run. */
  LOST_NOT_RUN(false),
  /** No target responded; the request was run. */
  LOST_RUN(false),
  /** No target responded; the request may have been run. */
  LOST_UNKNOWN(false);

  private final boolean fromTarget;

  LoadResult(boolean fromTarget) {
    this.fromTarget = fromTarget;
  }

  /** Returns the result of a request to which a target responded. */
  static LoadResult ofTargetResponse(long latencyMicros, long inTimeMicros) {
    return latencyMicros <= inTimeMicros ? ANSWERED : LATE;
  }

  /** Returns the result of a request to which the router responded in place of a target. */
  static LoadResult ofRouterOutcome(Outcome outcome) {
    switch (outcome) {
      case NOT_RUN:
        return LOST_NOT_RUN;
      case RUN:
        return LOST_RUN;
      default:
        return LOST_UNKNOWN;
    }
  }

  boolean isFromTarget() {
    return fromTarget;
  }
}
