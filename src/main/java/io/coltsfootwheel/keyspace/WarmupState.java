package io.coltsfootwheel.keyspace;

/** What the control leader knows of the warm-up of a target. */
public enum WarmupState {
  /** No report of this term tells; the last known state holds. */
  UNKNOWN,
  /** The target has started a short time ago and bears only a limited rate of requests. */
  COLD,
  /** The target bears its usual load. */
  WARM
}
