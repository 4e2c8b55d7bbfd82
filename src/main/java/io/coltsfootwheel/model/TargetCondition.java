package io.coltsfootwheel.model;

/** Condition of a target as observed by its dispatcher. */
public enum TargetCondition {
  /** Answers within {@link ControlTiming#TARGET_SUSPECT_MILLIS}. */
  HEALTHY,
  /** Does not answer; requests that were sent to it may still be executed. */
  SUSPECT,
  /** Does not answer, and no request that was sent to it can be executed any more. */
  RELEASED
}
