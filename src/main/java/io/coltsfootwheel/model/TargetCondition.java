package io.coltsfootwheel.model;

/** What a dispatcher has observed of its target. */
public enum TargetCondition {
  /** Answers in time. */
  HEALTHY,
  /** Does not answer; something that was sent to it may still be executed. */
  SUSPECT,
  /** Does not answer, and nothing that was sent to it can be executed any more. */
  RELEASED
}
