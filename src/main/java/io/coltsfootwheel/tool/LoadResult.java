package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Outcome;

/** What became of a request of the load driver; each request is answered, late or lost. */
enum LoadResult {
  /** A target responded in time. */
  ANSWERED(true),
  /** A target responded later than in time. */
  LATE(true),
  /** No target's response; the request was not run. */
  LOST_NOT_RUN(false),
  /** No target's response; the request was run. */
  LOST_RUN(false),
  /** No target's response; the request may have been run. */
  LOST_UNKNOWN(false);

  private final boolean fromTarget;

  LoadResult(boolean fromTarget) {
    this.fromTarget = fromTarget;
  }

  /** Returns the result of a target's response. */
  static LoadResult ofAnswer(long latencyMicros, long inTimeMicros) {
    return latencyMicros <= inTimeMicros ? ANSWERED : LATE;
  }

  /** Returns the result of a request that only the router responded to. */
  static LoadResult ofOutcome(Outcome outcome) {
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
